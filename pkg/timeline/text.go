package timeline

import (
	"fmt"
	"strings"
)

// String formats the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", e.Stamp, e.Node, e.Kind)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	add("request", e.Request)
	add("attempt", e.AttemptID)
	add("organisation", e.Organisation)
	add("class", e.Class)
	add("upstream", e.Upstream)
	add("domain", e.Domain)
	if e.Model != "" {
		add("version", e.Model+"@"+e.Version)
	}
	add("session", e.Session)
	if e.Config != 0 {
		add("config", fmt.Sprint(e.Config))
	}
	if e.Epoch != 0 {
		add("epoch", fmt.Sprint(e.Epoch))
	}
	if e.Code != 0 {
		add("code", fmt.Sprint(e.Code))
	}
	add("run", e.Run)
	if e.Detail != "" {
		fmt.Fprintf(&b, " detail=%q", e.Detail)
	}
	return b.String()
}
