package compare

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samber/oops"
)

const patchExt = ".patch"

// Mechanism is a patch that disables one mechanism.
type Mechanism struct {
	// Name is the patch's file name without its extension, Patch its path.
	Name, Patch string
}

// findMechanisms returns the patches in a directory sorted by name, restricted to the given names if
// there are any.
func findMechanisms(dir string, only []string) ([]Mechanism, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+patchExt))
	if err != nil {
		return nil, err
	}
	var list []Mechanism
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), patchExt)
		if len(only) == 0 || slices.Contains(only, name) {
			list = append(list, Mechanism{Name: name, Patch: file})
		}
	}
	if len(list) == 0 || len(only) > len(list) {
		return nil, fmt.Errorf("found %d matching patches in %s", len(list), dir)
	}
	return list, nil
}

// tree is a clone of the repository, possibly patched.
type tree struct {
	// mechanism is the name of the disabled mechanism, empty for none.
	mechanism string
	// id identifies the commit and the patch's content; dir is the directory of the clone.
	id, dir string
}

// cloneTree clones the repository's HEAD commit into the scratch directory and applies a mechanism's
// patch, unless the clone already exists.
func cloneTree(ctx context.Context, repo, scratch string, mechanism Mechanism) (tree, error) {
	commit, err := git(ctx, repo, "rev-parse", "--short=12", "HEAD")
	if err != nil {
		return tree{}, err
	}
	clone := tree{mechanism: mechanism.Name, id: strings.TrimSpace(commit)}
	if mechanism.Patch != "" {
		content, err := os.ReadFile(mechanism.Patch)
		if err != nil {
			return tree{}, oops.Wrapf(err, "reading the patch")
		}
		sum := sha256.Sum256(content)
		clone.id += "-" + mechanism.Name + "-" + hex.EncodeToString(sum[:4])
	}
	clone.dir = filepath.Join(scratch, clone.id)
	if _, err := os.Stat(clone.dir); err == nil {
		return clone, nil
	}
	// The clone gets its final name when it is complete, so that an interrupted run's clone is not reused.
	partial := clone.dir + ".partial"
	if err := os.RemoveAll(partial); err != nil {
		return tree{}, oops.Wrapf(err, "removing an incomplete clone")
	}
	if _, err := git(ctx, ".", "clone", "--quiet", "--shared", repo, partial); err != nil {
		return tree{}, err
	}
	if mechanism.Patch != "" {
		patch, err := filepath.Abs(mechanism.Patch)
		if err != nil {
			return tree{}, oops.Wrapf(err, "resolving the patch's path")
		}
		if _, err := git(ctx, partial, "apply", patch); err != nil {
			return tree{}, err
		}
	}
	return clone, oops.Wrapf(os.Rename(partial, clone.dir), "renaming the completed clone")
}

func git(ctx context.Context, dir string, arguments ...string) (string, error) {
	run := exec.CommandContext(ctx, "git", arguments...)
	run.Dir = dir
	output, err := run.CombinedOutput()
	return string(output), oops.With("output", string(output)).Wrapf(err, "git %s", strings.Join(arguments, " "))
}
