package main

import (
	"encoding/json"
	"os"
)

// wire holds the platform's names, which a data file supplies.
type wire struct {
	Attempt, Deadline, Signature, Unrun, Expect, Caller, Tenant, Load, Instance, Limit, Leaving, Era string
	Get, Range, Watch, Txn, Lease, Keep, LeaseEnd, Instances, Config, Cold, ColdPace, Rate, Ready    string
}

func readWire(path string) (wire, error) {
	var w wire
	b, err := os.ReadFile(path)
	if err != nil {
		return w, err
	}
	return w, json.Unmarshal(b, &w)
}
