package catalog

// Evacuation is an operator's order that the back ends of a zone get nothing new, as it
// is known at a revision of the platform's store.
type Evacuation struct {
	// Zone is the zone that is evacuated.
	Zone string `cbor:"1,keyasint"`
	// Withdrawn is true once the order was taken back.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
	// Revision and Era are the position, which orders what is known of the same zone.
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

// OfferEvacuations takes changes from a watch or a peer and returns those that were
// news.
func (v *View) OfferEvacuations(evacuations []Evacuation) []Evacuation {
	return v.evacuations.offer(evacuations)
}

// OfferEvacuationList takes the complete list that was read at the position. An order
// that it lacks was withdrawn, unless it was heard of at a later one.
func (v *View) OfferEvacuationList(evacuations []Evacuation, at Position) []Evacuation {
	return v.evacuations.offerList(evacuations, at)
}

// EvacuatedZones returns the zones under an order, in alphabetical order.
func (v *View) EvacuatedZones() []string {
	var zones []string
	for _, each := range v.evacuations.present() {
		zones = append(zones, each.Zone)
	}
	return zones
}

// EvacuationsSince returns the orders that changed after the given number of changes,
// withdrawn ones included, and the number to go on from.
func (v *View) EvacuationsSince(change uint64) ([]Evacuation, uint64) {
	return v.evacuations.since(change)
}
