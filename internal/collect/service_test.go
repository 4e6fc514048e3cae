package collect

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/pipenet"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// node is one gateway of a fleet that is connected by an in-memory network.
type node struct {
	self    Gateway
	service *Service
	server  *http.Server

	mutex sync.Mutex
	live  []Gateway
	// reportsFrom is when it starts to report its counts.
	reportsFrom time.Time
	totals      dispatch.Totals
	tallies     []rollout.Tally
	totalsAt    time.Time
}

func (n *node) Live() ([]Gateway, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.live, !time.Now().Before(n.reportsFrom)
}

// Counts has one request in flight at the same back end for every gateway.
func (n *node) Counts() []dispatch.Count { return []dispatch.Count{{Key: 7, Requests: 1, Demand: 3}} }

// Demands has the same demand of one tenant, by its key, at every gateway.
func (n *node) Demands() []fairshare.Demand {
	return []fairshare.Demand{{Service: 5, Demand: 70, Admitted: 60, Refused: 10}, {Service: 5, Tenant: 6, Demand: 70}}
}

func (n *node) ApplyTotals(_ []dispatch.Count, totals dispatch.Totals) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.totals, n.totalsAt = totals, time.Now()
}

func (n *node) Tallies() []rollout.Tally {
	return []rollout.Tally{{Key: rollout.Key{Order: 5}, Sent: 2}}
}

func (n *node) SetTallyTotals(_ []rollout.Tally, totals dispatch.Totals) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.tallies = totals.Tallies
}

// hasTotals reports whether the last totals are recent and include the given number of gateways.
func (n *node) hasTotals(gateways int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Since(n.totalsAt) < 2*period && n.totals.Counted == gateways &&
		len(n.totals.Counts) == 1 && n.totals.Counts[0].Requests == uint32(gateways) &&
		len(n.totals.Tenants) == 2 && n.totals.Tenants[1] == (fairshare.Demand{Service: 5, Tenant: 6, Demand: 70 * fairshare.Rate(gateways)}) &&
		n.totals.Tenants[0].Refused == 10*fairshare.Rate(gateways) &&
		len(n.tallies) == 1 && n.tallies[0].Sent == 2*uint32(gateways)
}

func (n *node) stop() {
	_ = n.server.Close()
	n.service.Close()
}

// startFleet starts the given number of gateways in three zones.
func startFleet(t *testing.T, count int) []*node {
	network := pipenet.New()
	log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
	t.Cleanup(log.Close)
	nodes := make([]*node, count)
	live := make([]Gateway, count)
	for i := range count {
		live[i] = Gateway{ID: fmt.Sprint("g", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: fmt.Sprint("z", i%3), Capacity: 10}
	}
	for i := range count {
		listener, err := network.Listen("pipe", live[i].Address)
		if err != nil {
			t.Fatal(err)
		}
		n := &node{self: live[i], live: append([]Gateway(nil), live...)}
		n.service = Start(Config{ID: n.self.ID, Source: n, Dial: network.Dial, Log: log, Metrics: tally.NoopScope})
		n.server = &http.Server{Handler: n.service}
		go func() { _ = n.server.Serve(listener) }()
		nodes[i] = n
	}
	return nodes
}

// A collector whose members don't report to it yet is queried again soon. If it were skipped as
// long as a silent one, for 3 s, a query just before the first report would leave a whole zone
// unknown for that time.
func TestCollectorWithoutMembersIsQueriedAgainSoon(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 40 // groups have more members than are queried in a second
		nodes := startFleet(t, count)
		for _, each := range nodes {
			if each.self.Zone == "z1" {
				each.mutex.Lock()
				each.reportsFrom = time.Now().Add(3 * period)
				each.mutex.Unlock()
			}
		}
		time.Sleep(3*period + noMembersSkipTime + 4*period)
		for _, each := range nodes {
			is.True(each.hasTotals(count))
		}
		for _, each := range nodes {
			each.stop()
		}
	})
}

// Every gateway has the totals of all of them within two seconds after the start, and again soon
// after the collector of its group has failed.
func TestAllGatewaysGetTheTotals(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 40
		nodes := startFleet(t, count)
		time.Sleep(2 * time.Second)
		for _, each := range nodes {
			is.True(each.hasTotals(count))
		}
		lost := NewPlan(nodes[0].self.ID, nodes[0].live).Own.Members[0].ID
		for _, each := range nodes {
			if each.self.ID == lost {
				each.stop()
			}
		}
		time.Sleep(answerTimeout + sourceTimeout + 3*period)
		for _, each := range nodes {
			if each.self.ID != lost {
				is.True(each.hasTotals(count - 1))
				each.stop()
			}
		}
	})
}
