package daemon

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
)

// certificateInterval is the time between two readings of the certificate files.
const certificateInterval = time.Minute

// CertificateError reports an own certificate that every peer would refuse.
type CertificateError struct {
	Instance model.InstanceID
	Problem  string
}

// Error names the instance, the problem and the remedy.
func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate of instance %q: %s; run mangoshedctl keys instance %s and set tls.cert_file and tls.key_file to its files",
		e.Instance, e.Problem, e.Instance)
}

// checkCertificate returns a *CertificateError unless the own certificate names the
// instance of the settings and is valid now.
func (d *Daemon) checkCertificate() error {
	id := model.InstanceID(d.cfg.Settings.Instance.ID)
	if self := d.cfg.Identity.Self(); self.Instance != id {
		return &CertificateError{Instance: id, Problem: fmt.Sprintf("it names %s in place of instance.id", self)}
	}
	if expiry := d.cfg.Identity.Expiry(); time.Now().After(expiry) {
		return &CertificateError{Instance: id, Problem: "it expired at " + expiry.UTC().Format(time.RFC3339)}
	}
	return nil
}

// reloadCertificates reads the files again at intervals. Faults are logged: a running
// daemon keeps its links and its calls.
func (d *Daemon) reloadCertificates(ctx context.Context) {
	ticker := time.NewTicker(certificateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := d.cfg.Identity.Reload()
			if err == nil {
				err = d.checkCertificate()
			}
			if err != nil {
				d.log.Warn("certificate_reload_failed", zap.Error(err))
			}
		}
	}
}
