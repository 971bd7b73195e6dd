// Package announcer announces a target to the node on its VM and renews the
// announcement before it expires. The protocol is plain HTTP, see
// docs/announce.md.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// State is the state that a target reports.
type State string

// States of a target.
const (
	// Warm targets accept as many concurrent requests as they have slots.
	Warm State = "warm"
	// Cold targets accept only the service's cold limit.
	Cold State = "cold"
	// Draining targets finish their running requests and accept no new ones.
	Draining State = "draining"
)

// Defaults and limits of an Announcer.
const (
	// DefaultTTL is how long an announcement is valid by default.
	DefaultTTL = 3 * time.Second
	// announcementsPerTTL is how often an announcement is sent within its TTL.
	announcementsPerTTL = 3
	// withdrawTimeout limits the withdrawal at the end of Run.
	withdrawTimeout  = time.Second
	maxResponseBytes = 4 << 10
)

// Announcer announces one target. Set the fields before Run.
type Announcer struct {
	// Node is the admin address, IP and port, of the node on this VM.
	Node string
	// Service is the service's name, Address the target's IP and port.
	Service, Address string
	// Slots is how many requests the target runs concurrently when warm.
	Slots int
	// Epoch identifies one start of the target. It must increase with each
	// start; the start time in Unix milliseconds is suitable.
	Epoch uint64
	// TTL is how long an announcement is valid; zero means DefaultTTL.
	TTL time.Duration
	// State is called before each announcement; nil means Warm.
	State func() State
	// Changed triggers an immediate announcement for each value received. It
	// may be nil.
	Changed <-chan struct{}
	// Failed is called with the error of each failed announcement. It may be
	// nil.
	Failed func(error)
	// Client sends the announcements; nil means http.DefaultClient.
	Client *http.Client
}

// Run announces the target three times per TTL until ctx is done. Then it
// withdraws the target and returns the error of the withdrawal.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.ttl() / announcementsPerTTL)
	defer ticker.Stop()
	for ctx.Err() == nil {
		a.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-a.Changed:
		case <-ctx.Done():
		}
	}
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	return a.Withdraw(withdrawCtx)
}

func (a *Announcer) announceOnce(ctx context.Context) {
	attemptCtx, cancel := context.WithTimeout(ctx, a.ttl()/announcementsPerTTL)
	defer cancel()
	err := a.Announce(attemptCtx)
	if err != nil && ctx.Err() == nil && a.Failed != nil {
		a.Failed(err)
	}
}

// Announce sends one announcement. It returns a coder.Error if the node refuses
// it.
func (a *Announcer) Announce(ctx context.Context) error {
	state := Warm
	if a.State != nil {
		state = a.State()
	}
	body, err := json.Marshal(struct {
		Slots int    `json:"slots"`
		State State  `json:"state"`
		TTL   int64  `json:"ttl"`
		Epoch uint64 `json:"epoch"`
	}{a.Slots, state, a.ttl().Milliseconds(), a.Epoch})
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPut, body)
}

// Withdraw removes the target from the node.
func (a *Announcer) Withdraw(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *Announcer) ttl() time.Duration {
	if a.TTL > 0 {
		return a.TTL
	}
	return DefaultTTL
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	endpoint := "http://" + a.Node + "/v1/targets/" + url.PathEscape(a.Service) + "/" + url.PathEscape(a.Address)
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcer: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := a.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("announcer: %w", err)
	}
	defer res.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if res.StatusCode < http.StatusMultipleChoices {
		return err
	}
	return refusalError(res, responseBody)
}

// refusalError converts a refusal of the node into an error.
func refusalError(res *http.Response, responseBody []byte) error {
	code, err := strconv.Atoi(res.Header.Get("Zinnia-Code"))
	if err != nil {
		return errors.New("announcer: node responded without a valid result code: " + res.Status)
	}
	var body struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(responseBody, &body) != nil {
		body.Detail = string(bytes.TrimSpace(responseBody))
	}
	return coder.New(coder.Code(code), "%s", body.Detail)
}
