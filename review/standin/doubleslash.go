package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

func init() { cases["empty-segment"] = emptySegment }

func errNotServed(each sent) error {
	return fmt.Errorf("%s %s wasn't served before the disruption: status %d, %v", each.method, each.target, each.status, each.err)
}

// emptySegment adds a route for all paths of a host. Paths that begin with an empty segment, which
// no route matched before, then lead to the service, and must reach it unchanged.
func emptySegment(w *world) (broken bool, err error) {
	routes := []any{route("plan-lookup", "/plans/", "non_idempotent", 1)}
	tenant := map[string]any{"name": "swan-coast", wire.APIKeys: []any{tenantKey}, "priority": 1}
	if err := w.startSmall(configuration(7, routes, []any{tenant})); err != nil {
		return false, err
	}
	time.Sleep(contact)
	before := w.sendPaths()
	if each := before[0]; each.status != http.StatusOK {
		return false, errNotServed(each)
	}
	if w.trouble {
		routes = append(routes, route("whole-host", "/", "non_idempotent", 1))
		revision := w.store.put("config", "main", configuration(9, routes, []any{tenant}))
		w.record.notef("configuration 9 with a route for all paths was acknowledged at revision %d", revision)
	}
	time.Sleep(configApply + time.Second)
	after := w.sendPaths()
	runs := w.runsOf()
	for _, each := range append(before, after...) {
		for _, run := range runs[each.id] {
			if sentPath, ranPath := pathOf(each.target), pathOf(run.target); sentPath != ranPath {
				w.record.notef("broken: %s was sent for path %q and ran for path %q (target %q)", each.id, sentPath, ranPath, run.target)
				broken = true
			}
		}
	}
	return broken, nil
}

// sendPaths sends requests to each gateway, some of them with an empty first segment.
func (w *world) sendPaths() []sent {
	var all []sent
	for _, g := range w.gateways {
		for _, target := range []string{"/plans/17", "//plans/18", "//plans/19/pause?by=case-officer", "/files//20"} {
			all = append(all, w.send(g, "loans.example", http.MethodPost, target, tenantKey, "pause the repayment"))
		}
	}
	return all
}

// pathOf returns the path that a request target names: of one in absolute form, what follows the
// authority.
func pathOf(target string) string {
	if strings.HasPrefix(target, "/") {
		path, _, _ := strings.Cut(target, "?")
		return path
	}
	parsed, err := url.Parse(target)
	if err != nil {
		return target
	}
	return parsed.EscapedPath()
}
