//go:build wireinject

package node

import (
	"github.com/google/wire"

	"github.com/zinniaproxy/zinniaproxy/internal/settler"
)

// New puts a node together. Its parts are tied by bind.
func New(s settler.Settings, p Platform) *Node {
	wire.Build(
		newEpoch, newTracer, newMeasurer, newProber, newRecorder, newSpreader, newRoster, newConfigurer, newAuthenticator,
		newDetector, newAdmitter, newPicker, newLimiter, newRationer, newLinker, newRegistrar,
		newSender, newDeduper, newRetrier, newRecords, newDrainer, newDispatcher, newBidder, newForwarder, newRequester, newReceiver, newReporter,
		wire.Struct(new(parts), "*"), bind,
	)
	return nil
}
