package daemoncli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/doorstep/doorstep/internal/command"
)

func TestCheckSettings(t *testing.T) {
	good := "../../../deploy/dakar/plateau.yaml"
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("name: x"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		arguments []string
		code      int
	}{
		{"good", []string{"check-settings", "--settings", good}, command.ExitDone},
		{"a flag that is not allowed", []string{"check-settings", "--settings", good, "--listen-http", "nowhere"}, command.ExitUsage},
		{"broken", []string{"check-settings", "--settings", broken}, command.ExitUsage},
		{"no such file", []string{"check-settings", "--settings", broken + "x"}, command.ExitUsage},
		{"no settings", []string{"check-settings"}, command.ExitUsage},
		{"no settings to serve", nil, command.ExitUsage},
		{"broken settings to serve", []string{"--settings", broken}, command.ExitUsage},
		{"no such flag", []string{"--colour"}, command.ExitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if code := Main(append([]string{"doorstepd"}, c.arguments...), Platform{}); code != c.code {
				t.Errorf("exit code %d, should be %d", code, c.code)
			}
		})
	}
}
