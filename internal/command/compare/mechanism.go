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

// patchEnding is how the names of patches end.
const patchEnding = ".patch"

// Mechanism is a patch that switches one mechanism off.
type Mechanism struct {
	// Name is the patch's file name without its ending; Patch is its path.
	Name, Patch string
}

// findMechanisms lists the patches of a folder in the order of their names; with names
// given, just these.
func findMechanisms(folder string, only []string) ([]Mechanism, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*"+patchEnding))
	if err != nil {
		return nil, err
	}
	var list []Mechanism
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), patchEnding)
		if len(only) == 0 || slices.Contains(only, name) {
			list = append(list, Mechanism{Name: name, Patch: file})
		}
	}
	if len(list) == 0 || len(only) > len(list) {
		return nil, fmt.Errorf("%s holds %d of the patches asked for", folder, len(list))
	}
	return list, nil
}

// tree is a laid out tree of the repository.
type tree struct {
	// mechanism is the one that is switched off, empty for none.
	mechanism string
	// id names the commit and the patch's content; folder is where the tree lies.
	id, folder string
}

// layTree clones the repository's newest commit into the scratch folder and applies a
// mechanism's patch, unless that was done before.
func layTree(ctx context.Context, repo, scratch string, mechanism Mechanism) (tree, error) {
	commit, err := git(ctx, repo, "rev-parse", "--short=12", "HEAD")
	if err != nil {
		return tree{}, err
	}
	laid := tree{mechanism: mechanism.Name, id: strings.TrimSpace(commit)}
	if mechanism.Patch != "" {
		content, err := os.ReadFile(mechanism.Patch)
		if err != nil {
			return tree{}, oops.Wrapf(err, "the patch")
		}
		sum := sha256.Sum256(content)
		laid.id += "-" + mechanism.Name + "-" + hex.EncodeToString(sum[:4])
	}
	laid.folder = filepath.Join(scratch, laid.id)
	if _, err := os.Stat(laid.folder); err == nil {
		return laid, nil
	}
	// The tree gets its name once it is whole: one that a stopped run left is not taken up.
	partial := laid.folder + ".partial"
	if err := os.RemoveAll(partial); err != nil {
		return tree{}, oops.Wrapf(err, "an unfinished tree")
	}
	if _, err := git(ctx, ".", "clone", "--quiet", "--shared", repo, partial); err != nil {
		return tree{}, err
	}
	if mechanism.Patch != "" {
		patch, err := filepath.Abs(mechanism.Patch)
		if err != nil {
			return tree{}, oops.Wrapf(err, "the patch's path")
		}
		if _, err := git(ctx, partial, "apply", patch); err != nil {
			return tree{}, err
		}
	}
	return laid, oops.Wrapf(os.Rename(partial, laid.folder), "naming the tree")
}

func git(ctx context.Context, folder string, arguments ...string) (string, error) {
	run := exec.CommandContext(ctx, "git", arguments...)
	run.Dir = folder
	output, err := run.CombinedOutput()
	return string(output), oops.With("output", string(output)).Wrapf(err, "git %s", strings.Join(arguments, " "))
}
