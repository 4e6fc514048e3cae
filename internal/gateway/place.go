package gateway

// Duty is a gateway's part in reading the platform's store. A few gateways read for all
// others, so that the number of calls doesn't grow with the fleet.
type Duty uint8

// The duties of a gateway.
const (
	// Learner gateways get updates from those that read the store. They read it rarely
	// themselves, in case they lose contact with their peers.
	Learner Duty = iota
	// Standby gateways try the store only occasionally: it is known to answer fewer gateways
	// than needed, and other gateways try it first.
	Standby
	// Reader gateways read and watch the store continuously.
	Reader
)

// Place is a gateway's position in the fleet.
type Place struct {
	// Gateways is the number of live gateways, including this one.
	Gateways int
	// Duty is this gateway's duty, and Rank the number of readers that precede it.
	Duty Duty
	Rank int
}
