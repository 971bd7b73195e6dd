package lab

// Route is a route of the configuration.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"pathPrefix"`
	Service     string `json:"service"`
	Kind        string `json:"kind"`
	Timeout     int    `json:"timeoutMs"`
	Latency     int    `json:"targetLatencyMs"`
	MaxAttempts int    `json:"maxAttempts"`
	Priority    int    `json:"priority"`
	Public      bool   `json:"public"`
}

// Kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// Host is the host of all routes.
const Host = "shop.example"

// Declare writes the configuration as the operator, with public routes and
// without tenants.
func (l *Lab) Declare(services []string, routes []Route) error {
	type service struct {
		Name   string `json:"name"`
		Health string `json:"healthPath"`
		Cold   int    `json:"coldPerS"`
	}
	var doc struct {
		Version  string    `json:"version"`
		Routes   []Route   `json:"routes"`
		Services []service `json:"services"`
		Limits   struct {
			Header  int `json:"maxHeaderBytes"`
			Body    int `json:"maxBodyBytes"`
			Timeout int `json:"headerTimeoutMs"`
			Idle    int `json:"idleTimeoutMs"`
		} `json:"limits"`
	}
	doc.Version = "00000001"
	for _, name := range services {
		doc.Services = append(doc.Services, service{name, healthPath, 27})
	}
	for _, r := range routes {
		r.Host, r.Public, r.MaxAttempts = Host, true, 3
		doc.Routes = append(doc.Routes, r)
	}
	doc.Limits.Header, doc.Limits.Body, doc.Limits.Timeout, doc.Limits.Idle = 16<<10, 1<<20, 10_000, 60_000
	return l.Store.Put(names.ConfigKey, doc)
}

// Evacuate orders that nothing more is sent to the upstreams of a zone.
func (l *Lab) Evacuate(zone string) error {
	return l.Store.Put(names.EvacuatePrefix+zone, struct{}{})
}
