package origins

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

// node is one gateway of a fleet that is connected by an in-memory network.
type node struct {
	Gateway
	service *Service
	server  *http.Server
	ready   chan struct{}

	mutex   sync.Mutex
	live    []Gateway
	new     []dispatch.OriginRecord
	kept    map[dispatch.OriginKey]dispatch.StreamOrigin
	uniform dispatch.OriginAnswer
	// unsettled are the routes about which it asks, and settled the answers that it got.
	unsettled []dispatch.OriginQuestion
	settled   []dispatch.OriginAnswer
}

func (n *node) Live() []Gateway               { return n.live }
func (n *node) OriginsReady() <-chan struct{} { return n.ready }

func (n *node) TakeOrigins() []dispatch.OriginRecord {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	records := n.new
	n.new = nil
	return records
}

func (n *node) KeepOrigins(records []dispatch.OriginRecord) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, each := range records {
		n.kept[each.Key] = each.Origin
	}
}

func (n *node) AnswerOrigin(question dispatch.OriginQuestion) dispatch.OriginAnswer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	answer := n.uniform
	if origin, known := n.kept[question.Key]; known {
		answer.Recorded = &origin
	}
	return answer
}

func (n *node) UnsettledRoutes() []dispatch.OriginQuestion {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.unsettled
}

func (n *node) SettleRoute(_ dispatch.OriginQuestion, answer dispatch.OriginAnswer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.settled = append(n.settled, answer)
}

// setUniform sets what the gateway answers to questions about streams without a record.
func (n *node) setUniform(answer dispatch.OriginAnswer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.uniform = answer
}

// setUnsettled sets the routes about which the gateway asks.
func (n *node) setUnsettled(routes ...dispatch.OriginQuestion) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.unsettled = routes
}

// settledAnswers returns the answers that the gateway got about its routes.
func (n *node) settledAnswers() []dispatch.OriginAnswer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.settled)
}

// record makes the gateway publish the origins of streams with the keys.
func (n *node) record(keys ...dispatch.OriginKey) {
	n.mutex.Lock()
	for _, key := range keys {
		n.new = append(n.new, dispatch.OriginRecord{Key: key, Origin: testOrigin, LifeMillis: 1000})
	}
	n.mutex.Unlock()
	n.ready <- struct{}{}
}

var testOrigin = dispatch.StreamOrigin{Service: "s", Version: "v1"}

// network connects the nodes, except those that are cut off.
type network struct {
	*pipenet.Network
	cutOff sync.Map
	// count, unless nil, wraps the connections that gateways open.
	count func(net.Conn) net.Conn
}

func (n *network) dialerOf(id string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		_, from := n.cutOff.Load(id)
		_, to := n.cutOff.Load(address)
		if from || to {
			<-ctx.Done() // nothing arrives
			return nil, ctx.Err()
		}
		conn, err := n.Network.Dial(ctx, kind, address)
		if err == nil && n.count != nil {
			conn = n.count(conn)
		}
		return conn, err
	}
}

// withNodes runs a test on the virtual clock against a fleet.
func withNodes(t *testing.T, count int, test func(net *network, nodes []*node)) {
	bubble.Test(t, func(t *testing.T) {
		net := &network{Network: pipenet.New()}
		live := fleetOf(count)
		nodes := make([]*node, count)
		for i := range nodes {
			n := &node{Gateway: live[i], live: live, ready: make(chan struct{}, 1), kept: map[dispatch.OriginKey]dispatch.StreamOrigin{}}
			n.service = Start(Config{ID: n.ID, Source: n, Dial: net.dialerOf(n.ID), Metrics: tally.NoopScope})
			listener, err := net.Listen("pipe", n.Address)
			is.New(t).NoErr(err)
			n.server = &http.Server{Handler: n.service}
			go func() { _ = n.server.Serve(listener) }()
			nodes[i] = n
		}
		test(net, nodes)
		for _, n := range nodes {
			n.service.Close()
			_ = n.server.Close()
		}
		time.Sleep(time.Minute) // until dials have timed out
	})
}

// keys returns count keys.
func keys(count int) []dispatch.OriginKey {
	list := make([]dispatch.OriginKey, count)
	for i := range list {
		list[i] = dispatch.OriginKeyOf("tenant", fmt.Sprint(i))
	}
	return list
}

func find(n *node, key dispatch.OriginKey) dispatch.OriginSource {
	origin, source := n.service.Find(context.Background(), dispatch.OriginQuestion{Key: key, Route: "chat", Service: "s"})
	if source == dispatch.OriginPeerRecord && origin != testOrigin {
		return "another origin"
	}
	return source
}

func TestRecordsAreFoundAfterTheirGatewayWasKilled(t *testing.T) {
	withNodes(t, 5, func(net *network, nodes []*node) {
		is := is.New(t)
		nodes[0].record(keys(30)...)
		time.Sleep(20 * time.Millisecond)
		net.cutOff.Store(nodes[0].Address, true)
		for _, key := range keys(30) {
			source := find(nodes[1], key)
			is.True(source == dispatch.OriginPeerRecord || source == dispatch.OriginOwnRecord)
		}
	})
}

// Guards against records that are lost with the gateway that doesn't acknowledge them.
func TestRecordsGoToOthersIfAGatewayDoesNotAnswer(t *testing.T) {
	withNodes(t, 5, func(net *network, nodes []*node) {
		is := is.New(t)
		net.cutOff.Store(nodes[1].Address, true)
		nodes[0].record(keys(30)...)
		time.Sleep(2 * keepTimeout)
		for _, key := range keys(30) {
			copies := 0
			for _, n := range nodes[2:] {
				if n.AnswerOrigin(dispatch.OriginQuestion{Key: key}).Recorded != nil {
					copies++
				}
			}
			is.Equal(copies, replicas)
		}
		nodes[0].record(keys(31)[30])
		time.Sleep(10 * time.Millisecond) // the silent one is passed over
		is.True(find(nodes[2], keys(31)[30]) != dispatch.OriginUnknown)
	})
}

// Guards against a caller that waits for gateways which don't answer, and against a gateway that takes what it
// knows for all there is while it is cut off.
func TestCutOffGatewayDoesNotRelyOnItsOwnView(t *testing.T) {
	withNodes(t, 5, func(net *network, nodes []*node) {
		is := is.New(t)
		nodes[0].setUniform(dispatch.OriginAnswer{Uniform: true, OnlyVersion: "v1"})
		is.Equal(find(nodes[0], 1), dispatch.OriginUniform)
		net.cutOff.Store(nodes[0].ID, true)
		net.Silence()
		began := time.Now()
		is.Equal(find(nodes[0], 1), dispatch.OriginUnknown)
		is.True(time.Since(began) <= findTimeout)
	})
}

// A question is answered as soon as one gateway has the record, though others are silent.
func TestRecordIsFoundAtOnceBesideSilentGateways(t *testing.T) {
	withNodes(t, 5, func(net *network, nodes []*node) {
		is := is.New(t)
		nodes[3].KeepOrigins([]dispatch.OriginRecord{{Key: 1, Origin: testOrigin}})
		for _, n := range []*node{nodes[1], nodes[2], nodes[4]} {
			net.cutOff.Store(n.Address, true)
		}
		began := time.Now()
		is.Equal(find(nodes[0], 1), dispatch.OriginPeerRecord)
		is.True(time.Since(began) < findTimeout)
	})
}

// Gateways of a build without this service know nothing, but show that the one that asks isn't cut off.
func TestGatewaysOfAnOlderBuildDoNotPreventResumption(t *testing.T) {
	withNodes(t, 3, func(_ *network, nodes []*node) {
		is := is.New(t)
		nodes[0].setUniform(dispatch.OriginAnswer{Uniform: true, OnlyVersion: "v1"})
		for _, n := range nodes[1:] {
			n.server.Handler = http.NotFoundHandler()
		}
		is.Equal(find(nodes[0], 1), dispatch.OriginUniform)
		nodes[0].record(1)
		time.Sleep(time.Second)
	})
}

// Guards against a fleet that forgets what it knew when its gateways restart one after the other.
func TestGatewayThatHasJustStartedAsksAboutItsRoutes(t *testing.T) {
	withNodes(t, 5, func(_ *network, nodes []*node) {
		is := is.New(t)
		for _, n := range nodes[1:] {
			n.setUniform(dispatch.OriginAnswer{Uniform: true, OnlyVersion: "v1"})
		}
		nodes[0].setUnsettled(dispatch.OriginQuestion{Route: "chat", Service: "s"})
		time.Sleep(2 * settlePeriod)
		answers := nodes[0].settledAnswers()
		is.True(len(answers) >= settlePeers)
		is.True(answers[0].Uniform)
		time.Sleep(settleTime)
		asked := len(nodes[0].settledAnswers())
		time.Sleep(settleTime)
		is.Equal(len(nodes[0].settledAnswers()), asked) // it doesn't ask for ever
	})
}

// Guards against a caller that leaves while the question is open.
func TestQuestionEndsWithItsCaller(t *testing.T) {
	withNodes(t, 2, func(net *network, nodes []*node) {
		is := is.New(t)
		net.cutOff.Store(nodes[1].Address, true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		began := time.Now()
		_, source := nodes[0].service.Find(ctx, dispatch.OriginQuestion{Key: 1})
		is.Equal(source, dispatch.OriginUnknown)
		is.True(time.Since(began) <= 2*time.Millisecond)
	})
}
