package main

import (
	"net/http"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// configuration returns a configuration document as `fleetbench wire` shows it, with one plain
// service and the given routes and tenants.
func configuration(version int, routes, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "loans-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// route returns a route to the plain service.
func route(name, prefix, routeType string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "loans.example", wire.PathPrefix: prefix, wire.RouteType: routeType, "timeoutMs": 1500, wire.Objective: 300, "priority": 2,
		"service": "loans-app", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// startSmall starts the store, two runners of the plain service and three gateways.
func (w *world) startSmall(first map[string]any) error {
	storeAddress, err := w.startStore()
	if err != nil {
		return err
	}
	for i, zone := range zones[:2] {
		if _, err := w.startRunner([]string{"i-7f3a91c2", "i-02d9e6b4"}[i], "loans-app", 10+i, zone); err != nil {
			return err
		}
	}
	w.store.put("config", "main", first)
	return w.startGateways(3, storeAddress)
}

const (
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	unknownKey = "anfqasnmgkcuyj8pjbvk"
)

// lastTenant takes the key of the only tenant away: the configuration's list of tenants is then
// empty. A request with that key, with a key that never was in any configuration, and without a
// key must not run.
func lastTenant(w *world) (broken bool, err error) {
	routes := []any{route("plan-lookup", "/plans/", "non_idempotent", 1), route("balance-lookup", "/balances/", "idempotent", 2)}
	tenant := map[string]any{"name": "swan-coast", wire.APIKeys: []any{tenantKey}, "priority": 1}
	if err := w.startSmall(configuration(7, routes, []any{tenant})); err != nil {
		return false, err
	}
	time.Sleep(contact)
	before := w.sendKeys()
	for _, each := range before {
		if wanted := map[string]int{tenantKey: 200}[each.key]; wanted == 200 && each.status != 200 {
			return false, errNotServed(each)
		}
	}
	if w.trouble {
		revision := w.store.put("config", "main", configuration(9, routes, []any{}))
		w.record.notef("configuration 9 without tenants was acknowledged at revision %d", revision)
	}
	time.Sleep(configApply + time.Second)
	after := w.sendKeys()
	runs := w.runsOf()
	for _, each := range before {
		if each.key != tenantKey && len(runs[each.id]) > 0 {
			w.record.notef("broken: %s ran with key %q, which no configuration ever held", each.id, each.key)
			broken = true
		}
	}
	for _, each := range after {
		isDropped := w.trouble && each.key == tenantKey
		if len(runs[each.id]) == 0 || each.key == tenantKey && !isDropped {
			continue
		}
		why := "which no configuration ever held (ROUTE)"
		if isDropped {
			why = "which was dropped more than configApplyMs ago (CONFIG)"
		}
		w.record.notef("broken: %s ran with key %q, %s", each.id, each.key, why)
		broken = true
	}
	return broken, nil
}

// sendKeys sends, to each gateway, requests with the tenant's key, with an unknown one and
// without one.
func (w *world) sendKeys() []sent {
	var all []sent
	for _, g := range w.gateways {
		for _, key := range []string{tenantKey, unknownKey, ""} {
			all = append(all,
				w.send(g, "loans.example", http.MethodGet, "/balances/17", key, ""),
				w.send(g, "loans.example", http.MethodPost, "/plans/17", key, "pause the repayment of 17"))
		}
	}
	return all
}
