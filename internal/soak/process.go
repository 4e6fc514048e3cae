package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is a gateway in a separate process. Its standard output and error are a pipe that a goroutine of the soak
// copies to a file.
type process struct {
	// programs are used in rotation, one for each start.
	programs []string
	starts   int
	settings string
	log      *os.File

	mutex sync.Mutex
	// current is the process of the last start, or nil before the first.
	current *execution
	// unplannedEnds tells how processes ended that were not told to, or otherwise than they were told to.
	unplannedEnds []string
}

// execution is one process from its start to its end.
type execution struct {
	command *exec.Cmd
	// logReader is the soak's end of the pipe.
	logReader *os.File
	// ended is closed when the process has ended. state is then its last state.
	ended chan struct{}
	state *os.ProcessState
	// isTold is true once the process was told to end. It is guarded by the mutex of its process.
	isTold bool
}

// startGrace is how long Start waits after it has started the process; until then no fault
// stops, reloads or pauses the gateway. A process that ends in this time has failed to start.
const startGrace = 200 * time.Millisecond

func (p *process) Start() error {
	started, err := p.startProcess()
	if err != nil {
		return err
	}
	select {
	case <-started.ended:
		return errors.Errorf("the gateway ended at once; its log is %s", p.log.Name())
	case <-time.After(startGrace):
		return nil
	}
}

func (p *process) startProcess() (*execution, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "make the pipe of a gateway's log")
	}
	command := exec.Command(p.programs[p.starts%len(p.programs)], "--config", p.settings)
	p.starts++
	command.Stdout, command.Stderr = writer, writer
	err = command.Start()
	_ = writer.Close() // the process has its own
	if err != nil {
		_ = reader.Close()
		return nil, errors.Wrap(err, "start a gateway")
	}
	started := &execution{command: command, logReader: reader, ended: make(chan struct{})}
	p.mutex.Lock()
	p.current = started
	p.mutex.Unlock()
	go func() { _, _ = io.Copy(p.log, reader) }() // ends with the process, or when LoseLogReader closes the pipe
	go p.awaitEnd(started)
	return started, nil
}

// awaitEnd records how the process ends.
func (p *process) awaitEnd(started *execution) {
	_ = started.command.Wait() // the state tells more than the error
	p.mutex.Lock()
	defer p.mutex.Unlock()
	started.state = started.command.ProcessState
	if !started.isTold {
		p.unplannedEnds = append(p.unplannedEnds, fmt.Sprintf("ended by itself: %v", started.state))
	}
	close(started.ended)
}

// running returns the process of the last start, or nil if it has ended or none was started.
func (p *process) running() *execution {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == nil {
		return nil
	}
	select {
	case <-p.current.ended:
		return nil
	default:
		return p.current
	}
}

// signal sends a signal if the process is still running.
func (p *process) signal(signal syscall.Signal) {
	if current := p.running(); current != nil {
		// The signal fails only if the process has just ended, and is then not needed.
		_ = current.command.Process.Signal(signal)
	}
}

// tell sends a signal that is to end the process, and returns it, or nil if it has ended already.
func (p *process) tell(signal syscall.Signal) *execution {
	current := p.running()
	if current == nil {
		return nil
	}
	p.mutex.Lock()
	current.isTold = true
	p.mutex.Unlock()
	_ = current.command.Process.Signal(signal)
	return current
}

func (p *process) Kill() {
	if told := p.tell(syscall.SIGKILL); told != nil {
		<-told.ended
	}
}

func (p *process) Stop() {
	told := p.tell(syscall.SIGTERM)
	if told == nil {
		return
	}
	select {
	case <-told.ended:
		if !told.state.Success() {
			p.noteEnd(fmt.Sprintf("a planned stop ended with %v", told.state))
		}
	case <-time.After(drainTimeout):
		p.noteEnd(fmt.Sprintf("a planned stop didn't end within %v", drainTimeout))
		p.Kill()
	}
}

func (p *process) noteEnd(how string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unplannedEnds = append(p.unplannedEnds, how)
}

func (p *process) UnplannedEnds() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unplannedEnds
}

func (p *process) Reload() { p.signal(syscall.SIGHUP) }
func (p *process) Pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) Resume() { p.signal(syscall.SIGCONT) }

func (p *process) LoseLogReader() {
	if current := p.running(); current != nil {
		_ = current.logReader.Close() // fails if it was closed before
	}
}

// reloadPause is the time between two signals of ReloadOften.
const reloadPause = time.Millisecond

func (p *process) ReloadOften() (end func()) {
	done := make(chan struct{})
	var signals sync.WaitGroup
	signals.Go(func() {
		ticker := time.NewTicker(reloadPause)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if current := p.running(); current != nil && receivesReload(current.command.Process.Pid) {
					_ = current.command.Process.Signal(syscall.SIGHUP) // fails if it has just ended
				}
			case <-done:
				return
			}
		}
	})
	return func() { close(done); signals.Wait() }
}

// signalMasks are the lines of a process's status with the signals that it ignores and catches, and reloadBit is the bit
// of SIGHUP in them.
var signalMasks = []string{"SigIgn:\t%x", "SigCgt:\t%x"}

const reloadBit = 1 << (uint(syscall.SIGHUP) - 1)

// receivesReload reports whether a process ignores or catches SIGHUP. Between its exec and its first instruction
// nothing but its parent could keep the signal from ending it.
func receivesReload(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	masked := uint64(0)
	for line := range strings.Lines(string(status)) {
		for _, format := range signalMasks {
			var mask uint64
			if _, err := fmt.Sscanf(line, format, &mask); err == nil {
				masked |= mask
			}
		}
	}
	return masked&reloadBit != 0
}
