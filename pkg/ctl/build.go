package ctl

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/usage"
)

func buildCommand() *cli.Command {
	return &cli.Command{
		Name: "build", Usage: "write the files of a version and the order to publish them in", ArgsUsage: "FILE", Action: buildTable,
		Description: "Writes segments/DIGEST and manifest below DIR. Publish the segments first and the manifest last.\nNothing is written to the store.",
		Flags: []cli.Flag{
			formatFlag(),
			&cli.Uint64Flag{Name: "version", Usage: "`NUMBER` of the version, above all published ones", Required: true},
			&cli.StringFlag{Name: "out", Usage: "output `DIR`", Required: true},
			&cli.StringFlag{Name: "sign", Usage: "sign with the private key in `FILE`"},
		},
	}
}

// buildResult is the JSON form of the outcome of table build.
type buildResult struct {
	Version     model.Version `json:"version"`
	TableDigest string        `json:"table_digest"`
	KeyID       string        `json:"key_id,omitempty"`
	Publish     []publication `json:"publish"`
}

// publication is one value to publish.
type publication struct {
	Key   string `json:"key"`
	File  string `json:"file"`
	Bytes int    `json:"bytes"`
}

func buildTable(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	t, err := readTable(args[0])
	if err != nil {
		return err
	}
	signer, err := readSigner(cmd.String("sign"))
	if err != nil {
		return err
	}
	version, out := model.Version(cmd.Uint64("version")), cmd.String("out")
	if err := checkNewer(filepath.Join(out, snapshot.ManifestKey), version); err != nil {
		return err
	}
	_, manifest, segments, err := snapshot.Build(t, version, time.Now(), signer)
	if err != nil {
		return err
	}
	result, err := writeVersion(out, manifest, segments)
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("version %d, table %s", result.Version, result.TableDigest), "publish in this order:"}
	for _, p := range result.Publish {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d bytes", p.Key, p.File, p.Bytes))
	}
	return show(cmd, result, lines)
}

// readSigner returns the signer of a key file, nil for an empty path.
func readSigner(path string) (*snapshot.Signer, error) {
	if path == "" {
		return nil, nil
	}
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	signer, err := snapshot.ParseSigner(data)
	if err != nil {
		return nil, &FileError{Path: path, Remedy: "use the private key that mangoshedctl keys sign wrote", Err: err}
	}
	return signer, nil
}

// checkNewer reports a manifest in the output directory whose version is not lower:
// daemons would ignore the new one.
func checkNewer(path string, version model.Version) error {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FileError{Path: path, Remedy: "check the permissions", Err: err}
	}
	present, err := snapshot.DecodeManifest(data)
	if err != nil {
		return &FileError{Path: path, Remedy: "use another output directory", Err: err}
	}
	if version <= present.Version {
		return &usage.Error{
			Problem: fmt.Sprintf("%s holds version %d, which daemons would keep instead of version %d", path, present.Version, version),
			Remedy:  fmt.Sprintf("use --version %d or above", present.Version+1),
		}
	}
	return nil
}

// writeVersion writes the segments, then the manifest.
func writeVersion(out string, manifest snapshot.Manifest, segments [][]byte) (buildResult, error) {
	result := buildResult{Version: manifest.Version, TableDigest: manifest.TableDigest.String(), KeyID: manifest.KeyID}
	write := func(key string, data []byte) error {
		path := filepath.Join(out, filepath.FromSlash(key))
		result.Publish = append(result.Publish, publication{Key: key, File: path, Bytes: len(data)})
		return writeFile(path, data, modePublic)
	}
	for i, segment := range segments {
		if err := write(snapshot.SegmentKey(manifest.Segments[i].Digest), segment); err != nil {
			return result, err
		}
	}
	encoded, err := snapshot.EncodeManifest(manifest)
	if err != nil {
		return result, err
	}
	return result, write(snapshot.ManifestKey, encoded)
}
