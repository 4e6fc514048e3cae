package intake

// Role is what a listener of a process is for.
type Role uint8

// The roles of listeners.
const (
	// Callers send the requests that the process serves.
	Callers Role = iota
	// Peers are the other processes of the fleet.
	Peers
	// Operators call the admin endpoints, readiness among them.
	Operators
	// Metrics is for collectors of metrics alone.
	Metrics
)

const (
	// fileDescriptors is the number of descriptors that are kept for files, and fileDivisor its largest part of all.
	fileDescriptors = 200
	fileDivisor     = 4
	// minConnections is the least maximum of any listener.
	minConnections = 16
	// headMemoryDivisor is the part of the memory that heads may take beyond HeadAllowance each.
	headMemoryDivisor = 8
)

// share is the part of a process that the connections of a listener may take, each as the divisor of the whole. What all
// listeners leave is for connections to back ends, the store and peers, for bodies, and for the process itself.
type share struct{ descriptors, memory int64 }

var shares = map[Role]share{
	Callers:   {descriptors: 2, memory: 2},
	Peers:     {descriptors: 8, memory: 16},
	Operators: {descriptors: 32, memory: 64},
	Metrics:   {descriptors: 32, memory: 64},
}

// Capacity is what a process may use.
type Capacity struct {
	// MemoryBytes is its memory; 0 means no limit.
	MemoryBytes int64
	// Descriptors is its limit on open descriptors, for files and connections.
	Descriptors int64
}

// MaxConnections returns the maximum of connections of a listener.
func (c Capacity) MaxConnections(role Role) int {
	part := shares[role]
	sockets := c.Descriptors - min(fileDescriptors, c.Descriptors/fileDivisor)
	limit := sockets / part.descriptors
	if c.MemoryBytes > 0 {
		limit = min(limit, c.MemoryBytes/part.memory/ConnectionBytes)
	}
	return int(max(limit, minConnections))
}

// HeadMemory returns Config.HeadMemory.
func (c Capacity) HeadMemory() int64 { return c.MemoryBytes / headMemoryDivisor }
