package catalog

// Evacuation is an operator's order that the back ends of a zone get no new requests, as of a
// position in the history of the platform's store.
type Evacuation struct {
	// Zone is the zone that is evacuated.
	Zone string `cbor:"1,keyasint"`
	// Withdrawn is true once the order has been withdrawn.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
	// Revision and Era are the position, which orders the records of a zone.
	Revision uint64 `cbor:"3,keyasint"`
	Era      uint64 `cbor:"4,keyasint,omitempty"`
}

func (e Evacuation) key() string        { return e.Zone }
func (e Evacuation) position() Position { return Position{Era: e.Era, Revision: e.Revision} }
func (e Evacuation) removed() bool      { return e.Withdrawn }

func (e Evacuation) asRemoved(position Position) Evacuation {
	return Evacuation{Zone: e.Zone, Withdrawn: true, Revision: position.Revision, Era: position.Era}
}

func (e Evacuation) withPosition(position Position) Evacuation {
	e.Revision, e.Era = position.Revision, position.Era
	return e
}

func (e Evacuation) carryOver(Evacuation) Evacuation { return e }

func (Evacuation) needsNoUpdate(Evacuation) bool { return false }

// OfferEvacuations merges changes from a watch or a peer, and returns those that were new.
func (v *View) OfferEvacuations(evacuations []Evacuation) []Evacuation {
	return v.evacuations.offer(evacuations)
}

// OfferEvacuationList merges the complete list of orders at the position, and returns the
// changes. An order that isn't in the list has been withdrawn, unless its record has a later
// position, or is of an earlier era and the current one hasn't settled.
func (v *View) OfferEvacuationList(evacuations []Evacuation, at Position) []Evacuation {
	return v.evacuations.offerList(evacuations, at)
}

// EvacuatedZones returns the evacuated zones in alphabetical order.
func (v *View) EvacuatedZones() []string {
	var zones []string
	for _, each := range v.evacuations.present() {
		zones = append(zones, each.Zone)
	}
	return zones
}

// EvacuationsSince returns the orders that have changed since the cursor, including withdrawn
// ones, and the next cursor.
func (v *View) EvacuationsSince(cursor uint64) ([]Evacuation, uint64) {
	return v.evacuations.since(cursor)
}
