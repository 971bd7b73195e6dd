//go:build wireinject

package node

import (
	"github.com/google/wire"

	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

// New returns a node with all of its components connected. Run starts it.
func New(s settingsloader.Settings, p Platform) *Node {
	wire.Build(
		newEpoch, newTracer, newMeasurer, newAccount, newRefusals, newProber, newMemberRecorder, newGossiper, newMembership, newConfigurer, newAuthenticator,
		newDetector, newAdmitter, newPicker, newLimiter, newSoftLimiter, newLinker, newTargetRegistrar, newLeaveRecorder,
		newTargetSender, newDeduper, newRetrier, newIdempotencyRecorder, newDrainer, newCrashWatcher, newQuarantiner, newExitHandler, newNoter, newReservationServer, newReserver, newLoadProber, newAttemptSender, newRequestRunner, newEntryHandler, newAdminServer,
		wire.Struct(new(components), "*"), bind,
	)
	return nil
}
