package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/draining"
)

// settingsUpdate is the event of a settings update.
type settingsUpdate struct{ settings balance.Settings }

// UpdateSettings replaces the settings. They must have been returned by balance.Settings.Checked.
func (x *Exchange) UpdateSettings(s balance.Settings) { x.post(settingsUpdate{s}) }

// updateSettings records the new settings as the newest version.
func (x *Exchange) updateSettings(s balance.Settings) {
	s.MaxSendDelay = draining.MaxSendDelay
	if x.versions.Update(x.cfg.Clock.Now(), s) {
		x.applySettings("taken")
	}
}

// settleSettings makes the newest version of the settings the only one in force once it is binding.
func (x *Exchange) settleSettings(now time.Duration) {
	if x.versions.Settle(now) {
		x.applySettings("settled")
	}
}

// applySettings applies the settings that are in force now everywhere. Pending requests keep the class that
// they arrived with.
func (x *Exchange) applySettings(what string) {
	s := x.versions.InForce()
	s.Floor, s.Restarted = x.cfg.Settings.Floor, x.cfg.Settings.Restarted // not part of any settings file
	x.useSettings(s)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.SetClasses(s.Classes)
	}
	x.decide(balance.SettingsUpdate{Settings: s})
	if x.sendDeadlines.updateSettings(s) {
		x.updateSendDeadlines()
	}
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	x.cfg.Log.Info("settings "+what, zap.Strings("classes", names), zap.Int("attempts", s.MaxAttempts), zap.Int("open", len(x.pending)))
}

// useSettings sets the settings for requests that arrive from now on.
func (x *Exchange) useSettings(s balance.Settings) {
	x.cfg.Settings, x.classes = s, map[string]*balance.Class{}
	for i := range s.Classes {
		x.classes[s.Classes[i].Name] = &s.Classes[i]
	}
}
