package declarer

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two declarations.
type Change struct {
	// Path locates the value by names, such as "workspaces[club].rate".
	Path string `json:"path"`
	// Before and After are the values as JSON, empty if absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.Path + ": " + c.After
	case c.After == "":
		return "- " + c.Path + ": " + c.Before
	}
	return "~ " + c.Path + ": " + c.Before + " -> " + c.After
}

// Diff returns the changes between two declarations, sorted by path. It ignores
// the order of named items.
func Diff(before, after Fleet) []Change {
	var out []Change
	out = append(out, diffList("centres", before.Centres, after.Centres, centreName)...)
	out = append(out, diffList("services", before.Services, after.Services, serviceName)...)
	out = append(out, diffList("workspaces", before.Workspaces, after.Workspaces, workspaceName)...)
	out = append(out, diffList("routes", before.Routes, after.Routes, routeName)...)
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return out
}

func diffList[T any](list string, before, after []T, name func(T) string) []Change {
	return diffFields(list+"[", "]", jsonByName(before, name), jsonByName(after, name), diffItem)
}

// diffItem compares two items with the same name.
func diffItem(path string, before, after json.RawMessage) []Change {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(before, &a) != nil || json.Unmarshal(after, &b) != nil {
		return []Change{{Path: path, Before: string(before), After: string(after)}}
	}
	return diffFields(path+".", "", a, b, diffValue)
}

// diffValue compares two values of a field. A list of keys is compared key by
// key, matched by name.
func diffValue(path string, before, after json.RawMessage) []Change {
	var a, b []Key
	if strings.HasSuffix(path, ".keys") && json.Unmarshal(before, &a) == nil && json.Unmarshal(after, &b) == nil {
		return diffList(path, a, b, keyName)
	}
	return []Change{{Path: path, Before: string(before), After: string(after)}}
}

// diffFields compares two maps. It calls diffEntry for each name that is in both
// with different values.
func diffFields(prefix, suffix string, before, after map[string]json.RawMessage, diffEntry func(string, json.RawMessage, json.RawMessage) []Change) []Change {
	all := maps.Clone(before)
	maps.Copy(all, after)
	var out []Change
	for name := range all {
		a, b, path := before[name], after[name], prefix+name+suffix
		switch {
		case string(a) == string(b):
		case a == nil || b == nil:
			out = append(out, Change{Path: path, Before: string(a), After: string(b)})
		default:
			out = append(out, diffEntry(path, a, b)...)
		}
	}
	return out
}

// jsonByName encodes each item as JSON, indexed by name.
func jsonByName[T any](list []T, name func(T) string) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(list))
	for _, item := range list {
		b, err := json.Marshal(item)
		if err == nil { // fails only for values that Check rejects
			out[name(item)] = b
		}
	}
	return out
}
