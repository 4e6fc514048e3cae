package origins

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// countedConn counts the bytes that are written and read.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against records that use up what a gateway may spend for control: 16 KB a second, of which all else
// has its part. At 340 gateways and 4,300 streams a second, each of a group of 22 begins 12.6.
func TestRecordsStayWithinTheControlTraffic(t *testing.T) {
	const (
		gateways, perSecond, seconds = 22, 12.6, 10
		allowed                      = 16_000 / 4 // bytes a second, a quarter of the bound
	)
	var bytes atomic.Int64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	withNodes(t, gateways, func(network *network, nodes []*node) {
		network.count = func(conn net.Conn) net.Conn { return countedConn{conn, &bytes} }
		key := dispatch.OriginKey(0)
		for range int(perSecond * seconds) {
			for _, n := range nodes {
				key += 0x9e3779b97f4a7c15
				n.record(key)
			}
			time.Sleep(time.Second * 10 / (perSecond * 10))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	})
	// Each byte is counted once as written and once as read by the side that dialed; the other side has the
	// same traffic, so a gateway has twice its part.
	rate := 2 * float64(bytes.Load()) / gateways / seconds
	memory := float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse) / gateways
	t.Logf("%.0f bytes a second and %.0f KB for a gateway with its connections", rate, memory/1000)
	is.New(t).True(rate <= allowed)
}
