package main

import "time"

// Zones of the small deployment, with their clients and nodes.
var (
	zoneNames   = []string{"oviedo", "santander", "lugo"}
	zoneClients = []int{31, 29, 30}
	zoneNodes   = []int{3, 3, 2}
)

// contact is contact_ms of the small deployment.
const contact = 3 * time.Second

// plainConfiguration has one plain service and two routes to it, with the limits of the small deployment.
func plainConfiguration(version int, backend string, timeoutMS int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": clientHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS,
			"target_latency_ms": 100, "priority_level": 2, "backend": backend, "max_attempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"generation_id": version,
		"routes":        []any{route("payout", "/puxa403/", "non_idempotent", 1), route("transfer", "/cufi504/", "idempotent", 2)},
		"backends":      []any{map[string]any{"name": backend, "health_path": "/healthz", "max_connections": 110, "protocol": "h1"}},
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":       []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority_level": 1}},
	}
}
