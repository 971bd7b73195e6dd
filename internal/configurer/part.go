package configurer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// bucketCount bounds the parts of a configuration. With 512, a part and the
// manifest are about equally large at the planned size, which minimizes the
// bytes sent for a change of one item.
const bucketCount = 512

// part holds the items of one bucket, each list sorted by name. It is encoded by
// position.
type part struct {
	Centres    []declarer.Centre
	Services   []declarer.Service
	Workspaces []declarer.Workspace
	Routes     []declarer.Route
}

func bucketOf(kind, name string) int {
	return int(xxhash.Sum64String(kind+"/"+name) % bucketCount)
}

// cachedBlob is an encoded manifest or part. part is its decoded value; it is nil
// for a manifest and for a part that only the previous configuration has.
type cachedBlob struct {
	data []byte
	part *part
}

// splitFleet splits a declaration into parts. It returns the references sorted by
// bucket, and the encoded parts by hash.
func splitFleet(f declarer.Fleet) ([]partRef, map[Hash][]byte, error) {
	f = f.Sorted()
	parts := map[int]*part{}
	partFor := func(kind, name string) *part {
		b := bucketOf(kind, name)
		if parts[b] == nil {
			parts[b] = &part{}
		}
		return parts[b]
	}
	for _, c := range f.Centres {
		p := partFor("centre", c.Name)
		p.Centres = append(p.Centres, c)
	}
	for _, s := range f.Services {
		p := partFor("service", s.Name)
		p.Services = append(p.Services, s)
	}
	for _, w := range f.Workspaces {
		p := partFor("workspace", w.Name)
		p.Workspaces = append(p.Workspaces, w)
	}
	for _, r := range f.Routes {
		p := partFor("route", r.Name)
		p.Routes = append(p.Routes, r)
	}
	refs, data := make([]partRef, 0, len(parts)), make(map[Hash][]byte, len(parts))
	for b, p := range parts {
		d := encode(p)
		if len(d) > storer.MaxValueBytes {
			return nil, nil, coder.New(coder.BadDeclaration, "bucket %d of the configuration has %d bytes, at most %d fit in the store", b, len(d), storer.MaxValueBytes)
		}
		h := hashOf(d)
		refs, data[h] = append(refs, partRef{Bucket: b, Hash: h}), d
	}
	slices.SortFunc(refs, func(a, b partRef) int { return cmp.Compare(a.Bucket, b.Bucket) })
	return refs, data, nil
}

// joinFleet reassembles the declaration that splitFleet split.
func joinFleet(m *manifest, parts map[Hash]cachedBlob) declarer.Fleet {
	var f declarer.Fleet
	for _, ref := range m.Parts {
		p := parts[ref.Hash].part
		f.Centres = append(f.Centres, p.Centres...)
		f.Services = append(f.Services, p.Services...)
		f.Workspaces = append(f.Workspaces, p.Workspaces...)
		f.Routes = append(f.Routes, p.Routes...)
	}
	slices.SortFunc(f.Services, func(a, b declarer.Service) int { return strings.Compare(a.Name, b.Name) })
	return f
}
