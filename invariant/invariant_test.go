package invariant

import (
	"os"
	"strings"
	"testing"
)

func TestViolationPanicsWithoutReporter(t *testing.T) {
	defer func() {
		violation, _ := recover().(Violation)
		if text := violation.String(); !strings.Contains(text, "config_version_monotonic") || !strings.Contains(text, "3 after 4") {
			t.Errorf("panicked with %q", text)
		}
	}()
	NotBelow(ConfigVersionMonotonic, 3, 4)
	t.Error("a violation did not panic")
}

func TestReporterReplacesPanic(t *testing.T) {
	var reported []Violation
	SetReporter(func(violation Violation) { reported = append(reported, violation) })
	defer SetReporter(nil)
	before, total := Count(AttemptsWithinLimit), Total()
	Check(AttemptsWithinLimit, true, func() string { t.Error("evidence was made without a violation"); return "" })
	Check(AttemptsWithinLimit, false, func() string { return "3 of 2" })
	NotBelow(AttemptsWithinLimit, 4, 4)
	if Count(AttemptsWithinLimit) != before+1 || Total() != total+1 {
		t.Errorf("counted %d, want one", Count(AttemptsWithinLimit)-before)
	}
	if len(reported) != 1 || reported[0].Evidence != "3 of 2" {
		t.Errorf("reported %v", reported)
	}
}

func TestEachStatementIsCompleteAndDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/design/invariants.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for name, statement := range Statements {
		if !strings.Contains(string(page), "`"+statement.Name+"`") {
			t.Errorf("docs/design/invariants.md does not name %s", statement.Name)
		}
		if statement.Name == "" || statement.Holds == "" || statement.Breaks == "" || seen[statement.Name] {
			t.Errorf("statement %d is incomplete or repeated: %+v", name, statement)
		}
		seen[statement.Name] = true
	}
}

func BenchmarkCheck(b *testing.B) {
	value := uint64(0)
	for b.Loop() {
		value++
		Check(AttemptsWithinLimit, value > 0, func() string { return "never" })
	}
}
