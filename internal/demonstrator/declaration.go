package demonstrator

import (
	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// API keys of the demo's callers.
const (
	clubKey    = "demo-club"
	oldClubKey = "demo-club-old"
	shopKey    = "demo-shop"
)

// Limits of the shop workspace, which sends several times its rate.
const (
	shopRatePerSecond = 20
	shopBurst         = 20
)

func clubWorkspace() declarer.Workspace {
	return declarer.Workspace{Name: "club", Rate: 1_000, Burst: 1_000}.WithKey("new", clubKey).WithKey("old", oldClubKey)
}

func declaration() declarer.Fleet {
	return declarer.Fleet{}.
		WithCentre(declarer.Centre{Name: centreA, Region: region}).
		WithCentre(declarer.Centre{Name: centreB, Region: region}).
		WithService(declarer.Service{Name: "booking", Slots: targetSlots, Cold: 2, Floor: 0.5, Echo: true}).
		WithService(declarer.Service{Name: "guides", Slots: targetSlots, Cold: 2, Floor: 0.5, Echo: true}).
		WithWorkspace(clubWorkspace()).
		WithWorkspace(declarer.Workspace{Name: "shop", Rate: shopRatePerSecond, Burst: shopBurst}.WithKey("new", shopKey)).
		WithRoute(declarer.Route{Name: "catalogue", Path: "/catalogue", Service: "guides", Open: true, Wait: true, Deadline: 3_000}).
		WithRoute(declarer.Route{Name: "slots", Path: "/bookings", Methods: []string{"GET"}, Service: "booking", Deadline: 2_000}).
		WithRoute(declarer.Route{Name: "bookings", Path: "/bookings", Methods: []string{"POST"}, Service: "booking", Once: true, Deadline: 3_000})
}

// Indices of the calls in the load plan.
const (
	catalogueCall = iota
	slotsCall
	bookingsCall
	oldKeyCall
	shopCall
	paymentsCall
)

func calls() []loadgenerator.Call {
	return []loadgenerator.Call{
		catalogueCall: {Name: "catalogue", Method: "GET", Path: "/catalogue", Weight: 5, Size: 2_000},
		slotsCall:     {Name: "slots", Method: "GET", Path: "/bookings", Key: clubKey, Workspace: "club", Weight: 4},
		bookingsCall:  {Name: "bookings", Method: "POST", Path: "/bookings", Key: clubKey, Workspace: "club", Weight: 4, Once: true},
		oldKeyCall:    {Name: "old key", Method: "GET", Path: "/bookings", Key: oldClubKey, Workspace: "club", Weight: 1},
		shopCall:      {Name: "shop", Method: "GET", Path: "/bookings", Key: shopKey, Workspace: "shop", Weight: 6},
		paymentsCall:  {Name: "payments", Method: "POST", Path: "/bookings", Key: clubKey, Workspace: "club", Weight: 2, Once: true, Repeat: true},
	}
}
