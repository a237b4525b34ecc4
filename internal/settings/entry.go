package settings

// Entry configures the entry role.
type Entry struct {
	// Listen is the callers' address.
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// DialTimeout bounds connecting to the next hop.
	DialTimeout Duration `json:"dialTimeout"`
	// DrainTimeout bounds a planned stop.
	DrainTimeout Duration `json:"drainTimeout"`
}
