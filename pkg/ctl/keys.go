package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/settings"
	"mangoshed.example/mangoshed/pkg/usage"
)

const (
	authorityCert = "ca.pem"
	authorityKey  = "ca.key"
	// maxLeafDays bounds the life of a leaf certificate to that of the authority.
	maxLeafDays = int(identity.AuthorityValidity / (24 * time.Hour))
)

func keysCommand() *cli.Command {
	out := &cli.StringFlag{Name: "out", Usage: "output `DIR`", Value: "."}
	leaf := []cli.Flag{
		out,
		formatFlag(),
		&cli.StringFlag{Name: "authority", Usage: "`DIR` with the authority's ca.pem and ca.key", Value: "."},
		&cli.IntFlag{
			Name: "days", Usage: "life of the certificate in `DAYS`", Value: int(identity.LeafValidity / (24 * time.Hour)),
			Validator: func(days int) error {
				if days < 1 || days > maxLeafDays {
					return &usage.Error{Problem: fmt.Sprintf("%d days is out of range", days), Remedy: fmt.Sprintf("use 1 to %d", maxLeafDays)}
				}
				return nil
			},
		},
	}
	return &cli.Command{
		Name:  "keys",
		Usage: "make certificates and signing keys",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make the fleet's certificate authority: ca.pem and ca.key", Action: makeAuthority,
				Flags: []cli.Flag{out, formatFlag(), &cli.StringFlag{Name: "name", Usage: "common `NAME`", Value: "mangoshed"}},
			},
			{
				Name: "instance", Usage: "make the certificate of the daemon beside an instance: ID.pem and ID.key", ArgsUsage: "ID",
				Action: makeInstance, Flags: leaf,
			},
			{
				Name: "service", Usage: "make the certificate of an own service that only calls: NAME.pem and NAME.key", ArgsUsage: "NAME",
				Action: makeService, Flags: leaf,
			},
			{
				Name: "sign", Usage: "make an operator's key pair for table build --sign: sign.key and sign.pub", Action: makeSigningKey,
				Flags: []cli.Flag{out, formatFlag()},
			},
		},
		Action: usage.Group,
	}
}

// keyResult is the JSON form of what a keys command made.
type keyResult struct {
	PublicFile  string `json:"public_file"`
	PrivateFile string `json:"private_file"`
	KeyID       string `json:"key_id,omitempty"`
	PublicKey   string `json:"public_key,omitempty"`
}

// writePair writes a public and a private file; an existing file is never replaced,
// because a lost private key cannot be restored.
func writePair(cmd *cli.Command, publicName string, public []byte, privateName string, private []byte) (keyResult, error) {
	directory := cmd.String("out")
	result := keyResult{PublicFile: filepath.Join(directory, publicName), PrivateFile: filepath.Join(directory, privateName)}
	for _, path := range []string{result.PublicFile, result.PrivateFile} {
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			return result, &FileError{Path: path, Remedy: "use another --out, or move the file away", Err: fs.ErrExist}
		}
	}
	if err := writeFile(result.PrivateFile, private, modePrivate); err != nil {
		return result, err
	}
	return result, writeFile(result.PublicFile, public, modePublic)
}

// writeCertificate writes a certificate and its key and prints their names.
func writeCertificate(cmd *cli.Command, certName, keyName string, pair identity.KeyPair) error {
	result, err := writePair(cmd, certName, pair.Cert, keyName, pair.Key)
	if err != nil {
		return err
	}
	return show(cmd, result, result.lines())
}

func (r keyResult) lines() []string { return []string{r.PublicFile, r.PrivateFile + " (private)"} }

func makeAuthority(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	_, pair, err := identity.NewAuthority(cmd.String("name"), time.Now())
	if err != nil {
		return err
	}
	return writeCertificate(cmd, authorityCert, authorityKey, pair)
}

func makeInstance(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "ID")
	if err != nil {
		return err
	}
	return issue(cmd, args[0], identity.Peer{Instance: model.InstanceID(args[0])})
}

func makeService(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	if !table.IsLabel(args[0]) {
		return &usage.Error{Problem: fmt.Sprintf("service name %q is not a DNS label", args[0]), Remedy: "use lower-case letters, digits and hyphens"}
	}
	return issue(cmd, args[0], identity.Peer{Service: args[0]})
}

// issue writes the certificate of a holder; the name is that of the files.
func issue(cmd *cli.Command, name string, holder identity.Peer) error {
	if !settings.IsInstanceID(name) {
		return &usage.Error{Problem: fmt.Sprintf("name %q has the wrong form", name), Remedy: "use 1 to 128 letters, digits, hyphens, dots and underscores"}
	}
	directory := cmd.String("authority")
	cert, err := readFile(filepath.Join(directory, authorityCert))
	if err != nil {
		return err
	}
	key, err := readFile(filepath.Join(directory, authorityKey))
	if err != nil {
		return err
	}
	authority, err := identity.OpenAuthority(identity.KeyPair{Cert: cert, Key: key})
	if err != nil {
		return err
	}
	pair, err := authority.Issue(holder, time.Now(), time.Duration(cmd.Int("days"))*24*time.Hour)
	if err != nil {
		return err
	}
	return writeCertificate(cmd, name+".pem", name+".key", pair)
}

func makeSigningKey(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	data, err := snapshot.FormatPrivateKey(private)
	if err != nil {
		return err
	}
	text := snapshot.FormatPublicKey(public)
	result, err := writePair(cmd, "sign.pub", []byte(text+"\n"), "sign.key", data)
	if err != nil {
		return err
	}
	result.KeyID, result.PublicKey = snapshot.KeyID(public), text
	return show(cmd, result, append(result.lines(),
		"key ID "+result.KeyID+"; add to the settings of every daemon:", "signing_keys: ["+text+"]"))
}
