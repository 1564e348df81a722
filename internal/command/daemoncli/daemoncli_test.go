package daemoncli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/doorstep/doorstep/internal/command"
)

func TestCheckSettings(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.yaml")
	content := "name: a\nzone: z\nlisten: {requests: \"127.0.0.1:1\", readiness: \"127.0.0.1:2\"}\nstore: {address: \"127.0.0.1:3\"}\n"
	if err := os.WriteFile(good, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("name: x"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		arguments []string
		code      int
	}{
		{"valid", []string{"check-settings", "--settings", good}, command.ExitSuccess},
		{"invalid flag value", []string{"check-settings", "--settings", good, "--listen-requests", "nowhere"}, command.ExitUsage},
		{"invalid", []string{"check-settings", "--settings", broken}, command.ExitUsage},
		{"missing file", []string{"check-settings", "--settings", broken + "x"}, command.ExitUsage},
		{"no settings file", []string{"check-settings"}, command.ExitUsage},
		{"serve without settings file", nil, command.ExitUsage},
		{"serve with invalid settings", []string{"--settings", broken}, command.ExitUsage},
		{"unknown flag", []string{"--colour"}, command.ExitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if code := Main(append([]string{"doorstepd"}, c.arguments...), Platform{}); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
		})
	}
}
