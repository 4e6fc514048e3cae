package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project.
type gateway struct {
	name, ip, callers, ready, peers string
	settings                        string
	// door is where it reaches the store.
	door    *door
	process *exec.Cmd
	ended   chan struct{}
}

// world is one small deployment.
type world struct {
	root, folder string
	store        *store
	gateways     []*gateway
	record       *record
}

func newWorld(dir string) *world {
	root, err := filepath.Abs(".")
	must(err)
	folder, err := os.MkdirTemp("", "review-2-")
	must(err)
	w := &world{root: root, folder: folder, store: startStore(), record: openRecord(filepath.Join(dir, "record.txt"))}
	w.store.record = w.record
	w.endInTime()
	return w
}

// longest is how long a script may take.
const longest = 110 * time.Second

// endInTime ends the script, with all processes that it started, when it is told to or takes too long.
func (w *world) endInTime() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-told:
			w.cannotRun("it was told to end")
		case <-time.After(longest):
			w.cannotRun("it takes too long")
		}
	}()
}

// Ports of gateways are below those that the system gives to outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.Intn(lastPort-firstPort))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// bounds are those of the small sites.
var bounds = map[string]any{
	"drainMs": 2000, "graceS": 8, "retryRatio": 0.2, "retryExtra": 56, "capFactor": 2,
}

// startGateways starts gateways by the command of the deploy file, and waits until they are ready. The first three are seeds.
func (w *world) startGateways(count int) {
	var added []*gateway
	var seeds []any
	for range count {
		g := w.newGateway()
		added = append(added, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
	}
	for _, each := range added {
		w.writeSettings(each, seeds, true)
		w.start(each)
	}
	for _, each := range added {
		w.awaitReady(each, 15*time.Second)
	}
}

// newGateway returns a further gateway, which isn't started. It reaches the store at an address of its own.
func (w *world) newGateway() *gateway {
	number := len(w.gateways) + 1
	g := &gateway{
		name: fmt.Sprintf("edge-a-%d", number), ip: fmt.Sprintf("127.0.0.%d", number+1), // each has its own port for metrics
		callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), door: w.store.openDoor(),
	}
	w.gateways = append(w.gateways, g)
	return g
}

// writeSettings lays the settings file of a gateway.
func (w *world) writeSettings(g *gateway, seeds []any, bootstrap bool) {
	g.settings = writeSettings(w.root, w.folder, map[string]any{
		"nodeName": g.name, "zone": "zone-a", "region": "region", "ip": g.ip, "bootstrap": bootstrap, "bounds": bounds, "seeds": seeds,
		"listen":   map[string]any{"frontend": g.callers, "readiness": g.ready, "controlPlane": g.peers},
		"platform": map[string]any{"address": g.door.address},
		"limits":   map[string]any{"memoryMb": 284, "maxFds": 4100, "cpuShare": 0.304},
	})
}

func (w *world) start(g *gateway) {
	log, err := os.Create(filepath.Join(w.folder, g.name+".log"))
	must(err)
	g.process = exec.Command(filepath.Join(w.root, "target", "harriernotchd"))
	g.process.Env = []string{names["settings"] + "=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	g.process.Stdout, g.process.Stderr = log, log
	g.process.Dir = w.root
	must(g.process.Start())
	g.ended = make(chan struct{})
	process, ended := g.process, g.ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	w.record.say("gateway %s started", g.name)
}

func (w *world) awaitReady(g *gateway, patience time.Duration) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	w.cannotRun("gateway " + g.name + " isn't ready")
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, each := range w.gateways {
		if each.process != nil {
			_ = each.process.Process.Kill()
			<-each.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// cannotRun ends the script: the case couldn't be run.
func (w *world) cannotRun(why string) {
	w.record.say("could not run: %s", why)
	w.record.close()
	w.stop()
	fmt.Println("could not run:", why)
	os.Exit(2)
}

// finish ends the script with its verdict.
func (w *world) finish(broken []string) {
	for _, each := range broken {
		w.record.say("BROKEN: %s", each)
	}
	w.record.say("verdict: %d breaks", len(broken))
	w.record.close()
	w.stop()
	fmt.Printf("%d breaks; see record.txt\n", len(broken))
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func must(err error) {
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
}
