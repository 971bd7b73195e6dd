// Package settingsloader defines the settings of a node, checks them and reloads
// them while the node runs.
package settingsloader

// Settings configure one node process. Addresses are IP and port, except
// Address.
type Settings struct {
	// Name is the node's name, unique in the fleet.
	Name string `json:"name"`
	// Centre and Region are the data centre and region of the VM.
	Centre string `json:"centre"`
	Region string `json:"region"`
	// Address is the VM's IP; targets announce addresses on it.
	Address string `json:"address"`
	// Callers is the address for callers. Empty means port 7401 of Address.
	Callers string `json:"callers"`
	// Link is the address for other nodes, over TCP and UDP. Empty means port
	// 7402 of Address.
	Link string `json:"link"`
	// Admin is the address for announcements of targets and for operators. Empty
	// means port 7403 of Address.
	Admin string `json:"admin"`
	// Store is the URL of the platform's store.
	Store string `json:"store"`
	// Secret is the secret that all nodes of the fleet share.
	Secret string `json:"secret"`
	// Seeds are other nodes as "NAME=LINK", used when the store is unreachable.
	Seeds []string `json:"seeds"`
	// Level is "error", "info" or "debug". Empty means info.
	Level string `json:"level"`
	// Dialect is "own" for the fleet's own interface or "platform" for the
	// interface of the users' platform. Empty means own.
	Dialect string `json:"dialect"`
	// Rates is "strict" if no workspace may ever exceed its rate, which needs the
	// store, or "shared" if a bounded excess is allowed so that requests are
	// served through outages. Empty means strict.
	Rates string `json:"rates"`
	// Ready and Announce are the addresses where the platform checks the node's
	// readiness and where its targets announce themselves. Empty means Admin
	// alone.
	Ready    string `json:"ready"`
	Announce string `json:"announce"`
	// Service and Target are the service that runs on this VM and its target's
	// address, if known in advance.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Centres are the data centres as "NAME=REGION", if no declaration lists
	// them.
	Centres []string `json:"centres"`
	// Floor is the minimum fraction of a service's targets that outlier detection
	// leaves in use, if no declaration gives it.
	Floor float64 `json:"floor"`
	// Beat is the interval at which a target announces itself, in milliseconds.
	Beat float64 `json:"beat"`
	// Notice is how long a leaving target, data centre or node still takes new
	// calls, and Linger how long a stopping node still accepts connections, both
	// in milliseconds. 0 means the defaults. Keep is for how many milliseconds the
	// targets of a stopping node stay in use before their notice begins.
	Notice float64 `json:"notice"`
	Linger float64 `json:"linger"`
	Keep   float64 `json:"keep"`
	// Grace is the time from the stop signal until the process is killed, in
	// seconds. 0 means the default.
	Grace float64 `json:"grace"`
	// Ratio and Slack set the budget of extra attempts over the whole fleet: Ratio
	// is how many each request adds, and Slack how many a service may make
	// besides. 0 means the defaults.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	// Excess is how many requests beyond its rate and burst a workspace may send
	// over the whole fleet with shared rates.
	Excess float64 `json:"excess"`
	Limits
}

// PrefersAvailability reports whether availability goes before strictness, which
// operators choose with shared rates: workspaces may exceed their rates by a
// bounded excess, keys are accepted while nothing confirms the configuration,
// callers are accepted before there is a configuration, and targets are chosen
// by load probes of their exit nodes, which avoids targets that hang.
func (s Settings) PrefersAvailability() bool { return s.Rates == RatesShared }
