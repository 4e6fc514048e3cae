package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	record  *record
	folder  string
	trouble bool
	store   *store

	network  string
	gateways []*gatewayProcess
	// mutex guards runners and network.
	mutex   sync.Mutex
	runners []*runner
	engines []*engine
	// streams counts the streams that began at the engines.
	streams atomic.Int32
}

// gatewayProcess is a process with the command of the role in the deploy file.
type gatewayProcess struct {
	name                       string
	frontend, readiness, peers string
	process                    *exec.Cmd
	settings                   string
	exited                     chan struct{}
}

// listen opens a free port of one of the world's loopback addresses.
func (w *world) listen(host int) (net.Listener, error) {
	if w.network == "" {
		w.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	}
	return net.Listen("tcp4", fmt.Sprintf("%s.%d:0", w.network, host))
}

// freeAddress returns an address that was free a moment ago.
func (w *world) freeAddress(host int) (string, error) {
	listener, err := w.listen(host)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// bounds are those of SYSTEM.md for the site swancoast-loans, unless a case sets others.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
	"configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "failClosed": false, "revokeMs": 5000, "retryRatio": 0.2,
	"retryWindowS": 10, "retryExtra": 56, "recoverS": 12, "iterationMs": 120, "retryAfterS": 10, "capFactor": 2,
}

const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
)

// zones are those of the site swancoast-loans, unless a case sets others.
var zones = []string{"perth-a", "perth-b", "perth-c", "perth-d"}

// startStore serves the store and returns its address.
func (w *world) startStore() (string, error) {
	listener, err := w.listen(1)
	if err != nil {
		return "", err
	}
	go w.store.serve(listener)
	return listener.Addr().String(), nil
}

// startGateways starts one gateway in each of the first zones, all at once.
func (w *world) startGateways(count int, storeAddress string) error {
	template, err := os.ReadFile("deploy/gateway.toml")
	if err != nil {
		return err
	}
	var seeds []any
	for i := range count {
		g := &gatewayProcess{name: fmt.Sprintf("edge-%s-1", zones[i]), exited: make(chan struct{})}
		for _, address := range []*string{&g.frontend, &g.readiness, &g.peers} {
			if *address, err = w.freeAddress(20 + i); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
		w.gateways = append(w.gateways, g)
	}
	for i, g := range w.gateways {
		fields := map[string]any{
			"nodeName": g.name, "role": "gateway", "machineClass": "edge", "serves": []any{"edge", "control"},
			"ip": fmt.Sprintf("%s.%d", w.network, 20+i), "zone": zones[i], "region": strings.Split(zones[i], "-")[0], "seeds": seeds, "bootstrap": true,
			"listen": map[string]any{"frontend": g.frontend, "readiness": g.readiness, "controlPlane": g.peers},
			"limits": map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"bounds": bounds, "platform": map[string]any{"address": storeAddress, "form": "objects"},
		}
		g.settings = filepath.Join(w.folder, g.name+".toml")
		if err := os.WriteFile(g.settings, []byte(fill(string(template), fields)), 0o600); err != nil {
			return err
		}
		if err := w.startProcess(g); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// startProcess runs the command of the role "gateway" in the deploy file.
func (w *world) startProcess(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(w.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.process = exec.Command("target/harriernotchd")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, wire.Settings + "=" + g.settings}
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	w.record.notef("started %s, pid %d, frontend %s", g.name, g.process.Process.Pid, g.frontend)
	g.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) { _ = process.Wait(); close(exited) }(g.process, g.exited)
	return nil
}

// isReady asks a gateway's readiness address.
func (g *gatewayProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range w.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(w.gateways) {
			w.record.notef("all %d gateways are ready", ready)
			return nil
		}
	}
	return errors.New("the gateways didn't become ready")
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, g := range w.gateways {
		if g.process != nil && g.process.Process != nil {
			_ = g.process.Process.Kill()
			<-g.exited
		}
	}
}
