package commander

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func (c *Commander) node() *ffcli.Command {
	var f nodeFlags
	n := c.command("node", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		s, err := resolveSettings(f.settings, f.secretFile)
		if err != nil {
			return err
		}
		out := &logger.Logger{Out: c.Out}
		defer out.Flush(context.WithoutCancel(ctx))
		live := settingsloader.NewLive(s)
		live.Read = c.readSettings
		live.OnEvent = func(event, detail string) {
			out.Logr(s.Level).Info(event, "node", s.Name, "centre", s.Centre, "detail", detail)
		}
		reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		signal.Notify(stop, syscall.SIGTERM)
		defer signal.Stop(reload)
		defer signal.Stop(stop)
		watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
		defer stopWatching()
		go live.Run(watchCtx, reload, stop)
		return c.RunNode(ctx, live, out)
	}, f.register)
	n.Options = append(n.Options, settingsOptions()...)
	return n
}

// settingsOptions let the --settings flag name a JSON file of settings.
func settingsOptions() []ff.Option {
	return []ff.Option{ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.JSONParser)}
}

// readSettings rereads the settings of the running node from the same flags,
// environment and file, for a reload.
func (c *Commander) readSettings() (settingsloader.Settings, error) {
	var f nodeFlags
	set := flag.NewFlagSet("node", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	f.register(set)
	options := append(settingsOptions(), ff.WithEnvVarPrefix(envPrefix))
	if err := ff.Parse(set, c.arguments, options...); err != nil {
		return f.settings, coder.New(coder.BadSettings, "%v", err)
	}
	return resolveSettings(f.settings, f.secretFile)
}

// nodeFlags holds the values of the node command's flags.
type nodeFlags struct {
	settings   settingsloader.Settings
	secretFile string
}

func (f *nodeFlags) register(set *flag.FlagSet) {
	s := &f.settings
	set.String("settings", "", "JSON file of settings, keyed by flag name")
	set.StringVar(&s.Name, "name", "", "name of the node, unique in the fleet")
	set.StringVar(&s.Centre, "centre", "", "data centre of this VM")
	set.StringVar(&s.Region, "region", "", "region of the data centre")
	set.StringVar(&s.Address, "address", "", "IP of this VM")
	set.StringVar(&s.Callers, "callers", "", "IP and port for callers (default port 7401 of address)")
	set.StringVar(&s.Link, "link", "", "IP and port for other nodes, TCP and UDP (default port 7402 of address)")
	set.StringVar(&s.Admin, "admin", "", "IP and port for targets and operators (default port 7403 of address)")
	set.StringVar(&s.Store, "store", "", "URL of the platform's store")
	set.StringVar(&s.Secret, "secret", "", "secret that all nodes of the fleet share")
	set.StringVar(&f.secretFile, "secretfile", "", "file that holds the secret")
	set.Var((*listFlag)(&s.Seeds), "seeds", "other nodes, each NAME=LINK")
	set.StringVar(&s.Dialect, "dialect", "", "interface to callers and targets: own or platform (default own)")
	set.StringVar(&s.Rates, "rates", "", "how rate limits are enforced: strict or shared (default strict)")
	set.StringVar(&s.Ready, "ready", "", "IP and port where the platform checks whether the node accepts callers")
	set.StringVar(&s.Announce, "announce", "", "IP and port where the platform's targets announce themselves")
	set.StringVar(&s.Service, "service", "", "service that runs on this VM, if known")
	set.StringVar(&s.Target, "target", "", "IP and port of the target on this VM, if known")
	set.Var((*listFlag)(&s.Centres), "centres", "data centres, each NAME=REGION, where no declaration lists them")
	set.Var((*numberFlag)(&s.Floor), "floor", "minimum share of a service's targets that are not ejected, where no declaration sets it")
	set.Var((*numberFlag)(&s.Beat), "beat", "milliseconds between two announcements of a target")
	set.Var((*numberFlag)(&s.Notice), "notice", "milliseconds for which a leaving node or target still accepts new work (default 2000)")
	set.Var((*numberFlag)(&s.Linger), "linger", "milliseconds for which a stopping node still accepts connections (default the notice)")
	set.Var((*numberFlag)(&s.Keep), "keep", "milliseconds for which the targets of a stopping node stay in use before their notice begins")
	set.Var((*numberFlag)(&s.Grace), "grace", "seconds after which a process that was told to stop is killed (default 30)")
	set.Var((*numberFlag)(&s.Ratio), "ratio", "extra attempts that each request adds to the retry budget")
	set.Var((*numberFlag)(&s.Slack), "slack", "extra attempts that a service may make fleet-wide beyond the ratio")
	set.Var((*numberFlag)(&s.Excess), "excess", "requests beyond its rate and burst that a workspace may send with shared rates")
	f.registerLimits(set)
	set.StringVar(&s.Level, "level", "", "level of the log: error, info or debug (default info)")
}

// registerLimits registers the limits of what clients can make a node hold.
func (f *nodeFlags) registerLimits(set *flag.FlagSet) {
	l := &f.settings.Limits
	set.Var((*numberFlag)(&l.Memory), "memory", "MB of memory for node and target (default the cgroup's limit, else GOMEMLIMIT, else 256)")
	set.Var((*numberFlag)(&l.Descriptors), "descriptors", "descriptors that the process may have open, if below its own limit")
	set.Var((*numberFlag)(&l.Connections), "connections", "highest number of callers' connections (default by the limit of descriptors)")
	set.Var((*numberFlag)(&l.Body), "body", "longest body of a request in bytes (default 1048576)")
	set.Var((*numberFlag)(&l.Head), "head", "longest head of a request in bytes (default 65536)")
	set.Var((*numberFlag)(&l.Pipelined), "pipelined", "highest number of requests in flight of one connection (default 16)")
	set.Var((*numberFlag)(&l.Requests), "requests", "highest number of requests in flight (default 2048)")
	set.Var((*numberFlag)(&l.MinRate), "minrate", "bytes per second at which a request must arrive and a response be read (default 1024)")
	set.Var((*numberFlag)(&l.RateTime), "ratetime", "milliseconds that a client may take besides (default 5000)")
	set.Var((*numberFlag)(&l.Handshakes), "handshakes", "highest number of unauthenticated connections at the link address (default 64)")
	set.Var((*numberFlag)(&l.AuxConnections), "auxconnections", "highest number of connections at each of the admin, readiness and announcement addresses (default 64)")
	set.Var((*numberFlag)(&l.AuxHead), "auxhead", "longest head of a request there in bytes (default 8192)")
}

// resolveSettings returns the settings with defaults and the secret file's
// content filled in, or an error if they are invalid.
func resolveSettings(s settingsloader.Settings, secretFile string) (settingsloader.Settings, error) {
	if secretFile != "" {
		if s.Secret != "" {
			return s, coder.New(coder.BadSettings, "secretfile: %.80q: cannot be combined with secret", secretFile)
		}
		text, err := readSecret(secretFile)
		if err != nil {
			return s, err
		}
		s.Secret = text
	}
	s = s.WithDefaults()
	return s, settingsloader.AsInvalidError(s.Check())
}

func readSecret(name string) (string, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return "", coder.New(coder.BadSettings, "secretfile: %v", withoutOperation(err))
	}
	return strings.TrimSpace(string(b)), nil
}
