package soak

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Processes runs each gateway as a separate process of the real program on loopback. It signals
// only processes that it has started.
type Processes struct {
	protocol wire.Protocol
	program  string
	// older is the program of another build, which alternates with the first one; "" if there is
	// none. gateways is the number of gateways prepared so far.
	older    string
	gateways int
	folder   string
	// lastPort is the offset from firstPort of the last port that was returned.
	lastPort int
}

// NewProcesses returns an environment that runs the program and keeps its settings and logs in the
// folder.
func NewProcesses(protocol wire.Protocol, program, folder string) (*Processes, error) {
	absolute, err := pathOf(program)
	if err != nil {
		return nil, err
	}
	return &Processes{protocol: protocol, program: absolute, folder: folder, lastPort: os.Getpid() * portsPerRun % ports}, nil
}

func pathOf(program string) (string, error) {
	absolute, err := filepath.Abs(program)
	if err != nil {
		return "", errors.Wrap(err, "find the program")
	}
	if _, err := os.Stat(absolute); err != nil {
		return "", errors.Wrap(err, "the program can't be run")
	}
	return absolute, nil
}

// UseOlder makes every second gateway start with another build of the program, and every gateway
// switch to the other build at each restart. This simulates a rolling upgrade and its rollback.
func (e *Processes) UseOlder(program string) error {
	absolute, err := pathOf(program)
	e.older = absolute
	return err
}

// loopback is the address of the stand-ins' listeners, with any free port.
const loopback = "127.0.0.1:0"

// Protocol implements Environment.
func (e *Processes) Protocol() wire.Protocol { return e.protocol }

// Listen implements Environment.
func (e *Processes) Listen() (net.Listener, error) { return net.Listen("tcp", loopback) }

// listenPause and listenTries bound the wait for a port that a connection of another process has for a moment.
const (
	listenPause = 10 * time.Millisecond
	listenTries = 500
)

// ListenAt implements Environment.
func (e *Processes) ListenAt(address string) (listener net.Listener, err error) {
	for range listenTries {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

// The gateways' ports lie below the system's range of ephemeral ports, so that the port of a
// gateway that restarts isn't taken by a connection in between.
const (
	firstPort = 20_000
	ports     = 10_000
	// portsPerRun separates the ports of runs that are active at the same time.
	portsPerRun = 128
)

// Address implements Environment. The port is free when it is returned.
func (e *Processes) Address() (string, error) {
	for range ports {
		e.lastPort = (e.lastPort + 1) % ports
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+e.lastPort)).String()
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free for a gateway")
}

// Dial implements Environment.
func (e *Processes) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// Gateway implements Environment.
func (e *Processes) Gateway(id, text string) (Gateway, error) {
	path := filepath.Join(e.folder, id+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write a gateway's settings")
	}
	log, err := os.OpenFile(filepath.Join(e.folder, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open a gateway's log")
	}
	programs := []string{e.program}
	if e.older != "" {
		programs = append(programs, e.older)
	}
	e.gateways++
	return &process{programs: programs, starts: e.gateways, settings: path, log: log}, nil
}
