package wal

import (
	"fmt"
	"path/filepath"

	"github.com/pkg/errors"
)

// A data directory holds one or more generations of a member's state. The first one lies in
// the directory itself, later ones in subdirectories. Only the newest is used; the files of
// the others stay as they are.

const (
	firstGeneration = 1
	// maxGenerations bounds the corrupt generations that are kept: a disk that has corrupted
	// three is likely to corrupt the next one, and needs an operator.
	maxGenerations = 4
)

func generationDir(dataDir string, generation int) string {
	if generation == firstGeneration {
		return dataDir
	}
	return filepath.Join(dataDir, generationDirName(generation))
}

func generationDirName(generation int) string {
	return fmt.Sprintf("generation-%d", generation)
}

// OpenNewest opens the newest generation in the data directory. If that one is corrupt, it
// starts an empty generation, to which Contents.Corruption and Contents.PreviousClusterID
// refer: the member has lost its votes and entries like one that has lost its disk, and needs
// a new member ID. A generation that does not name its cluster, or is the last that is
// allowed, is not replaced.
//
// The error of OpenNewest is one of Open; a *CorruptionError refers to the newest generation.
func OpenNewest(options Options) (*Log, Contents, error) {
	if options.FS == nil {
		options.FS = OS{}
	}
	if err := options.FS.MkdirAll(options.Dir); err != nil {
		return nil, Contents{}, errors.Wrap(err, "wal: create data directory")
	}
	generation, err := newestGeneration(options.FS, options.Dir)
	if err != nil {
		return nil, Contents{}, err
	}
	log, contents, err := openGeneration(options, generation)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) || !canReplace(options, generation) {
		return log, contents, err
	}
	if err := createGeneration(options, generation+1); err != nil {
		return nil, Contents{}, errors.WithMessage(err, corruption.Error())
	}
	log, contents, err = openGeneration(options, generation+1)
	contents.Corruption = corruption
	return log, contents, err
}

func newestGeneration(fs FS, dataDir string) (int, error) {
	names, err := fs.ReadDir(dataDir)
	if err != nil {
		return 0, errors.Wrap(err, "wal: read data directory")
	}
	newest := firstGeneration
	for _, name := range names {
		var generation int
		_, err := fmt.Sscanf(name, "generation-%d", &generation)
		if err == nil && name == generationDirName(generation) {
			newest = max(newest, generation)
		}
	}
	return newest, nil
}

// openGeneration opens a generation and, unless it has an identity yet, finds the cluster of
// the one before it.
func openGeneration(options Options, generation int) (*Log, Contents, error) {
	dataDir := options.Dir
	options.Dir = generationDir(dataDir, generation)
	log, contents, err := Open(options)
	if err != nil {
		return nil, Contents{}, err
	}
	contents.Generation = generation
	if contents.Identity == nil && generation > firstGeneration {
		contents.PreviousClusterID, err = clusterIDOf(options.FS, generationDir(dataDir, generation-1))
		if err != nil {
			_ = log.Close()
			return nil, Contents{}, err
		}
	}
	return log, contents, nil
}

// canReplace reports whether a corrupt generation may be replaced. Without the cluster ID the
// member could create a second cluster, or join another one.
func canReplace(options Options, generation int) bool {
	if generation >= maxGenerations {
		return false
	}
	clusterID, err := clusterIDOf(options.FS, generationDir(options.Dir, generation))
	return err == nil && clusterID != 0
}

// clusterIDOf returns the cluster ID of the identity in a directory, 0 if there is none.
func clusterIDOf(fs FS, dir string) (uint64, error) {
	identity, err := (&Log{fs: fs, dir: dir}).readIdentity()
	if err != nil || identity == nil {
		return 0, err
	}
	return identity.ClusterID, nil
}

// createGeneration creates the directory of a generation and makes it durable, since a loss
// of power must not bring an earlier generation back once this one has been used.
func createGeneration(options Options, generation int) error {
	if err := options.FS.MkdirAll(generationDir(options.Dir, generation)); err != nil {
		return errors.Wrap(err, "wal: create directory of the next generation")
	}
	return errors.Wrap(options.FS.SyncDir(options.Dir), "wal: sync data directory")
}
