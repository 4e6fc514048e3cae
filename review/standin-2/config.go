package main

// names of the deployment.
const (
	host     = "loans.example"
	key      = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
	engines1 = "model-pool"
	plain1   = "loans-app"
)

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeout, objective, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, names["prefix"]: prefix, names["kind"]: kind, "timeoutMs": timeout, names["objective"]: objective, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "resumable": resumable,
	}
	if kind == "streaming" {
		r["sticky"], r[names["pause"]] = true, 300
	}
	return r
}

// configuration is one with the routes, like those of the small sites.
func configuration(version int, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": engines1, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 444000, "kvBytes": 131072, "linkMbps": 1100000.0, "migrations": true, "replicas": true, "interval": 9,
				"most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "sessionTtlS": 5.0, "modelList": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": plain1, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, names["keys"]: []any{key}, "priority": 1}},
	}
}

// withKey adds a key of the tenant to a configuration.
func withKey(to map[string]any, key string) map[string]any {
	owner := to["tenants"].([]any)[0].(map[string]any)
	owner[names["keys"]] = append(owner[names["keys"]].([]any), key)
	return to
}
