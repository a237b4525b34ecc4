// Package pki creates the private certificate authority of a deployment and the
// certificates that it signs for instances.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

// clockSkew is how far NotBefore of a certificate is set back, for instances with
// a slow clock.
const clockSkew = 5 * time.Minute

const serialBits = 128

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates a self-signed certificate authority.
func NewAuthority(name string, now time.Time, validity time.Duration) (Pair, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	return sign(template, template, key, key)
}

// Issue creates a certificate for an instance, for use as server and as client
// certificate and valid only for the given IP addresses.
func Issue(authority Pair, instance string, addresses []net.IP, now time.Time, validity time.Duration) (Pair, error) {
	if len(addresses) == 0 {
		return Pair{}, errors.New("an instance's certificate needs at least one IP address")
	}
	parent, parentKey, err := parse(authority)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(instance, now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	return sign(template, parent, key, parentKey)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"rosemarypass"}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func parse(pair Pair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(pair.Certificate)
	if block == nil {
		return nil, nil, errors.New("the authority's certificate is not PEM")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority's certificate")
	}
	keyBlock, _ := pem.Decode(pair.Key)
	if keyBlock == nil {
		return nil, nil, errors.New("the authority's key is not PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("the authority's key is not an ECDSA key")
	}
	return certificate, key, nil
}
