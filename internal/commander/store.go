package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func (c *Commander) store() *ffcli.Command {
	address, faults := "", ""
	return c.command("store", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		store := faker.NewStore()
		var f faker.StoreFaults
		if err := parseFaults(faults, &f); err != nil {
			return err
		}
		store.SetFaults(f)
		s, err := startServer(address, store.Handler())
		if err != nil {
			return err
		}
		if err := c.printf("store at http://%s\n", address); err != nil {
			return err
		}
		err = s.wait(ctx)
		store.SetFaults(faker.StoreFaults{Down: true}) // ends the watches
		return errors.Join(err, s.shutdown())
	}, func(set *flag.FlagSet) {
		set.StringVar(&address, "address", "127.0.0.1:7400", "IP and port to listen at")
		set.StringVar(&faults, "faults", "", "faults at the start, as JSON")
	})
}

// parseFaults decodes the JSON value of the --faults flag into faults. Unknown
// fields are an error.
func parseFaults(text string, faults any) error {
	if text == "" {
		return nil
	}
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(faults); err != nil {
		return coder.New(coder.BadSettings, "faults: %v", err)
	}
	return nil
}
