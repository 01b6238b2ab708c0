package main

import (
	"fmt"
	"strings"
)

// Config is the operator's configuration.
type Config struct {
	version int
	// keys holds the keys of the two tenants.
	keys map[string][]string
	// routes is the number of routes besides the two that are used.
	routes int
	// timeoutMs is that of the routes that are used.
	timeoutMs int
}

const (
	host       = "ficu95.example"
	pathSafe   = "/cufi504/2f"
	pathUnsafe = "/puxa403/2f"
)

// text returns the configuration as the operator writes it.
func (c *Config) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, c.version)
	fmt.Fprintf(&b, `{"name":"r-safe","host":%q,"pathPrefix":"/cufi504/","kind":"safe","timeoutMs":%d,"targetLatencyMs":300,"priority":2,"service":"plain","maxAttempts":2,"allowAnonymous":false}`, host, c.timeoutMs)
	fmt.Fprintf(&b, `,{"name":"r-unsafe","host":%q,"pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":%d,"targetLatencyMs":300,"priority":2,"service":"plain","maxAttempts":1,"allowAnonymous":false}`, host, c.timeoutMs)
	for i := range c.routes {
		fmt.Fprintf(&b, `,{"name":"r-idle%04d","host":%q,"pathPrefix":"/idle%04d/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"plain","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}`, i, host, i)
	}
	b.WriteString(`],"services":[{"name":"pool","healthCheckPath":"/healthz","maxConnections":348,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":280000,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"linkMbps":180000.0,`)
	fmt.Fprintf(&b, `"usual":{"prompt":835,"answer":97},"sets":%d,"experts":%d,"places":%d,"spare":1,"expert_mb":2200.0,"expert_share":0.85,"form_ms":600.0}},`, rankSets, rankExperts, rankPlaces)
	b.WriteString(`{"name":"plain","healthCheckPath":"/healthz","maxConnections":400,"protocol":"h1","tls":false}],`)
	b.WriteString(`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[`)
	for i, t := range []string{"tenant-a", "tenant-b"} {
		if i > 0 {
			b.WriteString(",")
		}
		quoted := make([]string, len(c.keys[t]))
		for j, k := range c.keys[t] {
			quoted[j] = fmt.Sprintf("%q", k)
		}
		fmt.Fprintf(&b, `{"name":%q,"apiKeys":[%s]}`, t, strings.Join(quoted, ","))
	}
	b.WriteString("]}")
	return b.String()
}
