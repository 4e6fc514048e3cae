package gateway

// Duty is a gateway's part in reading the platform's store. A few gateways read for all, so
// that calls don't grow with the fleet.
type Duty uint8

// The duties.
const (
	// Learns: others read, and tell. A gateway that learns reads seldom, for when it loses
	// its peers.
	Learner Duty = iota
	// StandsBy: fewer gateways than needed are known to be answered by the store, and
	// others are to look for it first.
	Standby
	// Reads: it reads and watches all the time.
	Reader
)

// Place is a gateway's among the others.
type Place struct {
	// Gateways is how many are live, this one included.
	Gateways int
	// Duty is what this one does, and Rank how many come before it among those that read.
	Duty Duty
	Rank int
}
