package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/draining"
)

type retuning struct{ settings balance.Settings }

// UpdateSettings takes new settings, whole. They are to be as Checked gives them.
func (x *Exchange) UpdateSettings(s balance.Settings) { x.post(retuning{s}) }

func (x *Exchange) retune(s balance.Settings) {
	s.MaxSendDelay = draining.MaxSendDelay
	if x.versions.Update(x.cfg.Clock.Now(), s) {
		x.force("taken")
	}
}

// settle puts the newest version in force alone once it is binding.
func (x *Exchange) settle(now time.Duration) {
	if x.versions.Settle(now) {
		x.force("settled")
	}
}

// force has what is in force now used everywhere. Requests that are open keep the class that they came with.
func (x *Exchange) force(what string) {
	s := x.versions.InForce()
	s.Floor, s.Restarted = x.cfg.Settings.Floor, x.cfg.Settings.Restarted // no file says that
	x.use(s)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.SetClasses(s.Classes)
	}
	x.decide(balance.SettingsUpdate{Settings: s})
	if x.bounds.retune(s) {
		x.rebind()
	}
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	x.cfg.Log.Info("settings "+what, zap.Strings("classes", names), zap.Int("attempts", s.MaxAttempts), zap.Int("open", len(x.open)))
}

// use notes the settings that hold for what comes.
func (x *Exchange) use(s balance.Settings) {
	x.cfg.Settings, x.classes = s, map[string]*balance.Class{}
	for i := range s.Classes {
		x.classes[s.Classes[i].Name] = &s.Classes[i]
	}
}
