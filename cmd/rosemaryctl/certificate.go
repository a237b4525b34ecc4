package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/pki"
)

type certificateCommand struct {
	Authority *certificateAuthority `arg:"subcommand:authority" help:"create the authority that signs the certificates of a deployment's instances"`
	Issue     *certificateIssue     `arg:"subcommand:issue" help:"create an instance's certificate"`
}

type certificateAuthority struct {
	Name   string        `arg:"--name" default:"rosemarypass" help:"name of the deployment"`
	Folder string        `arg:"--folder,required" help:"folder to which authority.pem and authority-key.pem are written"`
	Valid  time.Duration `arg:"--valid" default:"87600h" help:"validity period"`
}

type certificateIssue struct {
	Instance  string        `arg:"--instance,required" help:"name of the instance"`
	IP        []string      `arg:"--ip,required" help:"IP addresses at which other processes reach the instance"`
	Authority string        `arg:"--authority-folder,required" help:"folder with authority.pem and authority-key.pem"`
	Folder    string        `arg:"--folder,required" help:"folder to which instance.pem, instance-key.pem and authority.pem are written"`
	Valid     time.Duration `arg:"--valid" default:"2160h" help:"validity period"`
}

// Names of the PEM files, as used in the settings examples.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	instanceFile     = "instance.pem"
	instanceKeyFile  = "instance-key.pem"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
	folderMode      = 0o755
)

func (c *certificateAuthority) run(_ context.Context, t *tool) error {
	if _, err := os.Stat(filepath.Join(c.Folder, authorityKeyFile)); err == nil {
		return errors.Wrap(errUsage, "the folder already holds an authority; a new one would invalidate the certificates of all instances")
	}
	pair, err := pki.NewAuthority(c.Name, time.Now(), c.Valid)
	if err != nil {
		return err
	}
	return t.writePair(c.Folder, authorityFile, authorityKeyFile, pair)
}

func (c *certificateIssue) run(_ context.Context, t *tool) error {
	addresses, err := parseIPs(c.IP)
	if err != nil {
		return err
	}
	authority, err := readPair(c.Authority)
	if err != nil {
		return err
	}
	pair, err := pki.Issue(authority, c.Instance, addresses, time.Now(), c.Valid)
	if err != nil {
		return err
	}
	if err := t.writePair(c.Folder, instanceFile, instanceKeyFile, pair); err != nil {
		return err
	}
	return replaceFile(filepath.Join(c.Folder, authorityFile), authority.Certificate, publicFileMode)
}

func parseIPs(texts []string) ([]net.IP, error) {
	addresses := make([]net.IP, 0, len(texts))
	for _, text := range texts {
		address := net.ParseIP(text)
		if address == nil {
			return nil, errors.Wrapf(errUsage, "%q is not an IP address", text)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func readPair(folder string) (pki.Pair, error) {
	certificate, err := os.ReadFile(filepath.Join(folder, authorityFile))
	if err != nil {
		return pki.Pair{}, errors.Wrap(err, "read the authority")
	}
	key, err := os.ReadFile(filepath.Join(folder, authorityKeyFile))
	return pki.Pair{Certificate: certificate, Key: key}, errors.Wrap(err, "read the authority's key")
}

func (t *tool) writePair(folder, certificateName, keyName string, pair pki.Pair) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	if err := replaceFile(filepath.Join(folder, keyName), pair.Key, privateFileMode); err != nil {
		return err
	}
	path := filepath.Join(folder, certificateName)
	if err := replaceFile(path, pair.Certificate, publicFileMode); err != nil {
		return err
	}
	fmt.Fprintln(t.errors, "wrote", path)
	return nil
}

// replaceFile replaces a file atomically, so that a daemon that reads it
// concurrently sees either the complete old file or the complete new one.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(os.Rename(temporary, path), "replace file")
}
