package rig

// PutConfig writes a config with a service without models and three routes to it: /call/, whose requests may run
// once only, /read/, whose requests may be repeated, and /live/ for streams that may be resumed.
func (r *Rig) PutConfig(version int, idleTimeoutMS int) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "ferry.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 1000,
			"priority": 0, "service": "desk", "maxAttempts": attempts,
		}
	}
	live := route("live", streamPrefix, "streaming", 2)
	live["resumable"], live["targetGapMs"], live["timeoutMs"] = true, 300, 15_000
	r.Store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("call", "/call/", "non_idempotent", 1), route("read", "/read/", "idempotent", 2), live},
		"services": []any{map[string]any{"name": "desk", "maxConnections": 400, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMS},
	})
}
