package soak

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Processes runs each gateway as a process of the real program on loopback. Signals
// go to the processes that it started and to no other.
type Processes struct {
	protocol wire.Protocol
	program  string
	// older is the program of another build, which runs by turns with the first one; "" for
	// none. gateways counts those that were prepared.
	older    string
	gateways int
	folder   string
	// lastPort is the place of the port that was given out last.
	lastPort int
}

// NewProcesses returns an environment that runs the program; settings and logs are
// kept in the folder.
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

// UseOlder lets every second gateway begin with another build of the program, and each go over
// to the other one whenever it starts again: an upgrade and its way back, machine by machine.
func (e *Processes) UseOlder(program string) error {
	absolute, err := pathOf(program)
	e.older = absolute
	return err
}

// loopback is where everything listens.
const loopback = "127.0.0.1:0"

// Protocol implements Environment.
func (e *Processes) Protocol() wire.Protocol { return e.protocol }

// Listen implements Environment.
func (e *Processes) Listen() (net.Listener, error) { return net.Listen("tcp", loopback) }

// Ports of gateways lie below those that the system gives to connections: a
// gateway that is away for a moment must find its port free.
const (
	firstPort = 20_000
	ports     = 10_000
	// portsPerRun keeps runs beside each other apart.
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

// process is a gateway as a process of its own.
type process struct {
	// programs run by turns, one for each start.
	programs []string
	starts   int
	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

// startTime is how long a started gateway is given before faults may strike it.
const startGrace = 200 * time.Millisecond

func (p *process) Start() error {
	p.command = exec.Command(p.programs[p.starts%len(p.programs)], "--config", p.settings)
	p.starts++
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, "start a gateway")
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return errors.Errorf("the gateway ended at once; its log is %s", p.log.Name())
	case <-time.After(startGrace):
		return nil
	}
}

// signal sends a signal while the process lives.
func (p *process) signal(signal syscall.Signal) {
	if p.command == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		// It may have ended in this moment; then there is nobody to tell.
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) Kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) Stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(drainTimeout):
		p.Kill()
	}
}

func (p *process) Reload() { p.signal(syscall.SIGHUP) }
func (p *process) Pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) Resume() { p.signal(syscall.SIGCONT) }
