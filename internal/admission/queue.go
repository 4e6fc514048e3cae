package admission

import (
	"slices"
)

// Priority is a request's priority class. Lower values go first.
type Priority uint8

// The priorities.
const (
	// Interactive is for callers that wait for the answer.
	Interactive Priority = iota
	// Batch is for work that can wait.
	Batch

	priorityCount
)

// batchInterval prevents batch work from starving: while interactive work waits too,
// one in batchInterval starts is a batch request.
const batchInterval = 8

// queued is an accepted request in the queue, with its position in the fair order.
type queued struct {
	request  Request
	finish   float64
	sequence uint64
}

// fairQueue orders accepted requests: interactive before batch, and within a class
// weighted-fair across tenants by self-clocked fair queueing (Golestani, 1994):
// requests start in the order of their finish times in virtual time, and the virtual
// time of a class is the finish time of its request that started last. The requests
// of one tenant stay in order of arrival.
type fairQueue struct {
	classes     [priorityCount][]queued
	virtualTime [priorityCount]float64
	lastFinish  [priorityCount]map[string]float64
	weights     map[string]float64
	sequence    uint64
	starts      int
}

func newFairQueue() *fairQueue {
	q := &fairQueue{weights: map[string]float64{}}
	for class := range q.lastFinish {
		q.lastFinish[class] = map[string]float64{}
	}
	return q
}

func (q *fairQueue) weight(tenant string) float64 {
	if weight := q.weights[tenant]; weight > 0 {
		return weight
	}
	return 1
}

func (q *fairQueue) len() int {
	total := 0
	for _, class := range q.classes {
		total += len(class)
	}
	return total
}

// push inserts the request at its position in the fair order.
func (q *fairQueue) push(request Request) {
	class := request.Priority
	start := max(q.virtualTime[class], q.lastFinish[class][request.Tenant])
	finish := start + 1/q.weight(request.Tenant)
	q.lastFinish[class][request.Tenant] = finish
	q.sequence++
	entry := queued{request: request, finish: finish, sequence: q.sequence}
	at, _ := slices.BinarySearchFunc(q.classes[class], entry, compareQueued)
	q.classes[class] = slices.Insert(q.classes[class], at, entry)
}

func compareQueued(a, b queued) int {
	if a.finish != b.finish {
		if a.finish < b.finish {
			return -1
		}
		return 1
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// pop removes the request that starts next.
func (q *fairQueue) pop() (Request, bool) {
	class := q.nextClass()
	if len(q.classes[class]) == 0 {
		return Request{}, false
	}
	q.starts++
	entry := q.classes[class][0]
	q.classes[class] = slices.Delete(q.classes[class], 0, 1)
	q.virtualTime[class] = entry.finish
	if len(q.classes[class]) == 0 {
		// The class is empty: old finish times don't apply to the next backlog.
		clear(q.lastFinish[class])
		q.virtualTime[class] = 0
	}
	return entry.request, true
}

func (q *fairQueue) nextClass() Priority {
	if len(q.classes[Interactive]) == 0 {
		return Batch
	}
	if len(q.classes[Batch]) > 0 && (q.starts+1)%batchInterval == 0 {
		return Batch
	}
	return Interactive
}

// remove removes the request from any position.
func (q *fairQueue) remove(id RequestID) (Request, bool) {
	for class := range q.classes {
		for i, entry := range q.classes[class] {
			if entry.request.ID == id {
				q.classes[class] = slices.Delete(q.classes[class], i, i+1)
				return entry.request, true
			}
		}
	}
	return Request{}, false
}

// displace makes room for an arriving request in a full queue. It removes the last
// request of the tenant with the largest share of a class relative to its weight. It
// tries the lowest class first, and no class above that of the arriving request. In
// the arriving request's own class, a request is removed only if its tenant's share
// exceeds that of the arriving request's tenant. A tenant that surges therefore can't
// displace the requests of tenants with smaller shares of its class.
func (q *fairQueue) displace(arriving Request) (Request, bool) {
	for class := priorityCount; class > 0; class-- {
		low := class - 1
		if low < arriving.Priority {
			break
		}
		if victim, ok := q.lastOfLargestShare(low, arriving); ok {
			return q.remove(victim)
		}
	}
	return Request{}, false
}

// lastOfLargestShare returns the last request of the tenant with the largest share
// of the class. In the class of the arriving request, that share must exceed the share
// that the arriving request's tenant would have if its request were queued.
func (q *fairQueue) lastOfLargestShare(class Priority, arriving Request) (RequestID, bool) {
	counts := map[string]int{}
	for _, entry := range q.classes[class] {
		counts[entry.request.Tenant]++
	}
	var victim RequestID
	largest := 0.0
	if class == arriving.Priority {
		largest = float64(counts[arriving.Tenant]+1) / q.weight(arriving.Tenant)
	}
	found := false
	// Iterating over the entries, not over the map, makes the choice deterministic. Among
	// the entries of all tenants with the largest share, the last one is chosen.
	for _, entry := range q.classes[class] {
		tenant := entry.request.Tenant
		share := float64(counts[tenant]) / q.weight(tenant)
		if share > largest || found && share == largest {
			largest, victim, found = share, entry.request.ID, true
		}
	}
	return victim, found
}

// each calls visit for every queued request, class by class, in the order in which
// they would start.
func (q *fairQueue) each(visit func(Request)) {
	for _, class := range q.classes {
		for _, entry := range class {
			visit(entry.request)
		}
	}
}
