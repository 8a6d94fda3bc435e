package sessionlog

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestScopeHasNoSessionsOfOtherTenants guards against turns that are found for another tenant, or for
// none.
func TestScopeHasNoSessionsOfOtherTenants(t *testing.T) {
	sessions := map[string]string{
		"program/p": "", "session/s": "", "query/9c41": "", "program/tenant/depot/program/p": "",
		"tenant/depot/program/p": "tenant/depot/", "tenant/depot/session/s": "tenant/depot/", "tenant/depot/query/9c41": "tenant/depot/",
		"tenant/depot/yard/program/p": "tenant/depot/yard/", "tenant/d/program/p": "tenant/d/",
		"tenant/depot/program/program/p": "tenant/depot/", TenantScope("depot/program") + "program/p": TenantScope("depot/program"),
	}
	for sessionName, owner := range sessions {
		for _, scope := range []string{"", "tenant/depot/", "tenant/depot/yard/", "tenant/d/", "tenant/depot/program/", TenantScope("depot/program")} {
			if got := InScope(sessionName, scope); got != (scope == owner) {
				t.Errorf("session %q is in scope %q: %v", sessionName, scope, got)
			}
		}
	}
}

// TestNamesOfOtherTenantsKeepTheirStoredForm guards against records that are no longer found after an
// upgrade: only names that could be read in two ways have another form.
func TestNamesOfOtherTenantsKeepTheirStoredForm(t *testing.T) {
	for _, tenant := range []string{"depot", "depot/yard", "a/b/c", "program", "operation/x", "depot/programs", "depot//", "depot%2Fprogram", "/", "tenant/depot"} {
		if got := TenantScope(tenant); got != "tenant/"+tenant+"/" {
			t.Errorf("scope of %q: %q", tenant, got)
		}
	}
	for _, tenant := range []string{"depot/program", "depot/session/x", "a/query", "a//operation", "a/b/program/c"} {
		if got := TenantScope(tenant); strings.Contains(got, tenant) {
			t.Errorf("scope of %q: %q", tenant, got)
		}
	}
	if got := PrefixScope("depot", "talk"); got != "tenant/depot/talk" {
		t.Errorf("prefix scope %q", got)
	}
	if got := PrefixScope("", "talk"); got != "talk" {
		t.Errorf("prefix scope %q", got)
	}
}

// genName generates names of tenants, programs, keys and routes that contain the words and the signs of
// session names.
func genName() gopter.Gen {
	parts := gen.OneConstOf("/", "a", "b", "program", "session", "query", "operation", "tenant", "%2F", "program/", "/operation/")
	return gen.SliceOfN(5, parts).Map(func(parts []string) string { return strings.Join(parts, "") })
}

// sessionReading is one way to read a text as a tenant, the prefix of a session and an identifier.
type sessionReading struct{ tenant, prefix, name string }

// readingsOf returns all ways to read a text, joined with slashes, as the session of a tenant.
func readingsOf(text string) (readings []sessionReading) {
	for position := range text {
		for _, prefix := range sessionPrefixes {
			if name, found := strings.CutPrefix(text[position:], "/"+prefix); found && position > 0 && name != "" {
				readings = append(readings, sessionReading{text[:position], prefix, name})
			}
		}
	}
	return readings
}

// TestDifferentNamesHaveDifferentSessions guards against two tenants, programs, conversations, requests or
// operations that share a record, and against two routes whose turns share prefixes across tenants.
func TestDifferentNamesHaveDifferentSessions(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 20000
	properties := gopter.NewProperties(parameters)
	genTenant := gen.OneGenOf(gen.Const(""), genName(), genName(), genName())
	genPrefix := gen.OneConstOf(ProgramPrefix, ConversationPrefix, RequestPrefix, OperationPrefix)
	properties.Property("sessions", prop.ForAll(func(tenant, otherTenant, prefix, otherPrefix, name, otherName string) bool {
		same := tenant == otherTenant && prefix == otherPrefix && name == otherName
		return (TenantScope(tenant)+prefix+name == TenantScope(otherTenant)+otherPrefix+otherName) == same
	}, genTenant, genTenant, genPrefix, genPrefix, genName(), genName()))
	properties.Property("readings of one text", prop.ForAll(func(text string) bool {
		owners := map[string]sessionReading{}
		for _, reading := range readingsOf(text) {
			name := TenantScope(reading.tenant) + reading.prefix + reading.name
			if _, shared := owners[name]; shared {
				return false
			}
			owners[name] = reading
			for _, other := range readingsOf(text) {
				if InScope(name, TenantScope(other.tenant)) != (other.tenant == reading.tenant && reading.prefix != OperationPrefix) {
					return false
				}
			}
		}
		return true
	}, genName()))
	properties.Property("prefix scopes", prop.ForAll(func(tenant, otherTenant, route, otherRoute string) bool {
		return (PrefixScope(tenant, route) == PrefixScope(otherTenant, otherRoute)) == (tenant == otherTenant && route == otherRoute)
	}, genTenant, genTenant, genName(), genName()))
	properties.Property("a session is in the scope of its tenant only", prop.ForAll(func(tenant, otherTenant, prefix, name string) bool {
		session := TenantScope(tenant) + prefix + name
		return InScope(session, TenantScope(otherTenant)) == (tenant == otherTenant && prefix != OperationPrefix)
	}, genTenant, genTenant, genPrefix, genName()))
	properties.TestingRun(t)
}
