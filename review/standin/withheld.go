package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["starved-tenant"] = starvedTenant }

const (
	// statusWork is how long a runner works on a status fetch; the largest of the site is 450 ms.
	statusWork = 400 * time.Millisecond
	// crashTime is how long crashed runners are away.
	crashTime = 2 * time.Second
	// beforeCrash and afterCrash are the lengths of the two parts of the play.
	beforeCrash = 6 * time.Second
	afterCrash  = 80 * time.Second
)

// starvedTenant lets all runners of one zone crash at once while the three screens of a small tenant
// fetch the same status. The runners are back two seconds later. The tenant's requests must be served
// at least a quarter as often as everyone's.
func starvedTenant(w *world) (broken bool, err error) {
	storeAddress, err := w.startStore()
	if err != nil {
		return false, err
	}
	for i, zone := range zones {
		for j := range 3 {
			r, err := w.startRunner(fmt.Sprintf("i-%02x%02x", i, j), "loans-app", 100+10*i+j, zone)
			if err != nil {
				return false, err
			}
			r.work = statusWork
		}
	}
	var tenants []any
	for _, name := range tenantNames {
		tenants = append(tenants, map[string]any{"name": name, wire.APIKeys: []any{"key-of-" + name}, "priority": 1})
	}
	w.store.put("config", "main", configuration(7, []any{route("plan-lookup", "/plans/", "non_idempotent", 1)}, tenants))
	if err := w.startGateways(len(zones), storeAddress); err != nil {
		return false, err
	}
	time.Sleep(contact)

	var stopped atomic.Bool
	var clients sync.WaitGroup
	tallies := make([]tally, len(tenantNames))
	for i, name := range tenantNames {
		for screen := range 3 {
			clients.Go(func() { w.pollStatus(i, name, screen, &tallies[i], &stopped) })
		}
	}
	time.Sleep(beforeCrash)
	if w.trouble {
		w.crashZone(zones[0])
	}
	time.Sleep(afterCrash)
	stopped.Store(true)
	clients.Wait()
	return w.judgeShares(tallies), nil
}

// tenantNames are the tenants; the clients of each are in one zone, and connect to its gateway.
var tenantNames = []string{"albany-office", "bunbury-office", "broome-office", "karratha-office"}

// tally counts a tenant's requests.
type tally struct{ asked, served, refused, failed atomic.Int64 }

// pollStatus fetches statuses until it is stopped. The screens of the first tenant all show the same
// plan; those of the others show one plan after the other. A refused request is tried once more, as the
// refusal tells, but no later than after a third of the time left.
func (w *world) pollStatus(index int, tenant string, screen int, counts *tally, stopped *atomic.Bool) {
	g := w.gateways[index]
	for turn := 0; !stopped.Load(); turn++ {
		body := `{"plan":"17","what":"status"}`
		if index > 0 {
			body = fmt.Sprintf(`{"plan":"%d","what":"status"}`, 1000*screen+turn)
		}
		began := time.Now()
		answer := w.send(g, "loans.example", http.MethodPost, "/plans/status", "key-of-"+tenant, body)
		if answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests {
			left := 3*time.Second - time.Since(began)
			time.Sleep(min(answer.retryAfter, left/3))
			answer = w.send(g, "loans.example", http.MethodPost, "/plans/status", "key-of-"+tenant, body)
		}
		counts.asked.Add(1)
		switch answer.status {
		case http.StatusOK:
			counts.served.Add(1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			counts.refused.Add(1)
		default:
			counts.failed.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// crashZone lets all runners of a zone crash, and start again after crashTime, each as a new
// incarnation. The entries of the old ones go after three heartbeats.
func (w *world) crashZone(zone string) {
	w.record.notef("all runners of %s crash", zone)
	for _, r := range w.allRunners() {
		if r.zone != zone {
			continue
		}
		r.crash()
		time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", r.id) })
		time.AfterFunc(crashTime, func() {
			next, err := w.startRunner(r.id+"-2", r.service, r.host+50, r.zone)
			if err != nil {
				w.record.notef("runner %s didn't start again: %v", r.id, err)
				return
			}
			next.work = r.work
		})
	}
}

// judgeShares compares how often the tenants' requests were served.
func (w *world) judgeShares(tallies []tally) (broken bool) {
	var asked, served int64
	for i := range tallies {
		asked, served = asked+tallies[i].asked.Load(), served+tallies[i].served.Load()
	}
	everyone := float64(served) / float64(asked)
	for i := range tallies {
		t := &tallies[i]
		share := float64(t.served.Load()) / float64(t.asked.Load())
		w.record.notef("tenant %s: asked %d, served %d, refused %d, failed %d: share %.3f, everyone's %.3f",
			tenantNames[i], t.asked.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), share, everyone)
		if share < everyone/4 {
			w.record.notef("broken: %s is served less than a quarter as often as everyone (Starved)", tenantNames[i])
			broken = true
		}
	}
	return broken
}
