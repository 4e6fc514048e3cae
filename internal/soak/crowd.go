package soak

import (
	"context"
	"fmt"
	"strings"

	"github.com/sourcegraph/conc"
)

const (
	// crowdSize is the number of connections of one crowd.
	crowdSize = 60
	// crowdBody is the size in bytes of the bodies that stop just short of their end; the configuration allows them.
	crowdBody = 64 << 10
	// crowdHead is the size in bytes of the heads of very short fields.
	crowdHead = 32 << 10
	// crowdRequests is the number of requests that are sent ahead without reading answers.
	crowdRequests = 50
)

// crowdBytes are what the members of a crowd send before they stop, in turn. PATH is replaced by a path of a route or of
// none.
var crowdBytes = []string{
	"",
	"GET PATH HTTP/1.1\r\nHost: " + host,
	"GET PATH HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Repeat("a:\r\n", crowdHead/len("a:\r\n")),
	fmt.Sprintf("POST PATH HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", host, crowdBody+1, strings.Repeat("b", crowdBody)),
	fmt.Sprintf("POST PATH HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", host, strings.Repeat("8\r\n12345678\r\n", crowdBody/8)),
	strings.Repeat("GET PATH HTTP/1.1\r\nHost: "+host+"\r\n\r\n", crowdRequests),
}

// crowdPaths are a path of a route and one without a route.
var crowdPaths = []string{prefixRepeat + "crowd", "/nowhere"}

// sendCrowd opens the connections of a crowd to a gateway, and closes them at the end of the fault. What ordinary callers
// are promised holds meanwhile.
func (f *fleet) sendCrowd(ctx context.Context, g *gatewayState, fault Fault) {
	ctx, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	var members conc.WaitGroup
	for i := range crowdSize {
		text := strings.ReplaceAll(crowdBytes[i%len(crowdBytes)], "PATH", crowdPaths[i/len(crowdBytes)%len(crowdPaths)])
		members.Go(func() { f.sendAndStop(ctx, g.callers, text) })
	}
	members.Wait()
}

// sendAndStop sends bytes on a connection of its own and keeps it open until ctx ends.
func (f *fleet) sendAndStop(ctx context.Context, address, text string) {
	connection, err := f.environment.Dial(ctx, "tcp", address)
	if err != nil {
		return // the gateway is down
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_, _ = connection.Write([]byte(text)) // fails if the gateway closes the connection, as it may
	<-ctx.Done()
	_ = connection.Close()
}
