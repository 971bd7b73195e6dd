// Package settler holds the settings of a node.
package settler

// Settings are what one node process is told at its start. All addresses are
// IP and port.
type Settings struct {
	// Name is the node's name, unique in the fleet.
	Name string `json:"name"`
	// Centre and Region are where the VM is.
	Centre string `json:"centre"`
	Region string `json:"region"`
	// Address is the VM's IP; targets announce addresses on it.
	Address string `json:"address"`
	// Callers is where callers connect. Empty means port 7401 of Address.
	Callers string `json:"callers"`
	// Link is where other nodes connect, over TCP and UDP. Empty means port
	// 7402 of Address.
	Link string `json:"link"`
	// Admin is where targets announce themselves and operators look. Empty
	// means port 7403 of Address.
	Admin string `json:"admin"`
	// Store is the URL of the platform's store.
	Store string `json:"store"`
	// Secret is shared by all nodes of the fleet.
	Secret string `json:"secret"`
	// Seeds are other nodes, each "NAME=LINK", for when the store is gone.
	Seeds []string `json:"seeds"`
	// Level is "error", "info" or "debug". Empty means info.
	Level string `json:"level"`
	// Dialect is "own" for the fleet's own interface, or "platform" for that of
	// the users' platform. Empty means own.
	Dialect string `json:"dialect"`
	// Rates is "strict" where no workspace may ever exceed its rate, which
	// needs the store, or "shared" where a bounded excess is allowed for
	// service through outages. Empty means strict.
	Rates string `json:"rates"`
	// Ready and Announce are where the platform asks whether the node takes
	// callers, and where it has targets announce themselves. Empty means Admin
	// alone.
	Ready    string `json:"ready"`
	Announce string `json:"announce"`
	// Service and Target are the service that runs on this VM and its address,
	// where they are known beforehand.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Centres are the data centres as "NAME=REGION", where no declaration
	// lists them.
	Centres []string `json:"centres"`
	// Floor is the share of a service's targets that ejection leaves, where no
	// declaration gives it.
	Floor float64 `json:"floor"`
	// Beat is how often a target announces itself, in milliseconds.
	Beat int `json:"beat"`
	// Notice is how long what leaves still takes new work, and Linger how long a
	// stopping node still takes connections, both in milliseconds. 0 means the
	// defaults.
	Notice int `json:"notice"`
	Linger int `json:"linger"`
	// Grace is after how many seconds a process that was told to stop is
	// killed. 0 means the default.
	Grace float64 `json:"grace"`
	// Ratio is how many extra attempts each request pays for over the whole
	// fleet, and Slack how many a service may have besides. 0 means the
	// defaults.
	Ratio float64 `json:"ratio"`
	Slack int     `json:"slack"`
	// Excess is how many requests beyond its terms a workspace may send over
	// the fleet with shared rates.
	Excess int `json:"excess"`
}

// ServesOn tells that service goes before strictness, which operators choose
// with shared rates: rates are kept within a bounded excess, keys are acted on
// while nobody can confirm them, callers are taken before there is a
// configuration, and targets are chosen by the bids of their exits, which keep
// calls from those that hang.
func (s Settings) ServesOn() bool { return s.Rates == RatesShared }
