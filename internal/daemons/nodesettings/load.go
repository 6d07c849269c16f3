package nodesettings

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPathNotSet is returned by Load if PathEnvVar is unset or empty.
var ErrPathNotSet = errors.New("settings: " + PathEnvVar + " must be set")

// Load reads the settings file named by PathEnvVar. FileChanged then reports changes made after this call.
func Load() (*Settings, error) {
	path := os.Getenv(PathEnvVar)
	if path == "" {
		return nil, ErrPathNotSet
	}
	FileChanged()
	return Read(path)
}

// lastSeen holds the size and the modification time of the settings file at the last call of FileChanged.
var lastSeen struct {
	sync.Mutex
	size    int64
	modTime time.Time
}

// FileChanged reports whether the settings file has changed since the last call of FileChanged or Load. A file that cannot be
// accessed counts as unchanged. FileChanged is safe for concurrent use; each change is reported to one caller only.
func FileChanged() bool {
	info, err := os.Stat(os.Getenv(PathEnvVar))
	if err != nil {
		return false
	}
	lastSeen.Lock()
	defer lastSeen.Unlock()
	changed := info.Size() != lastSeen.size || !info.ModTime().Equal(lastSeen.modTime)
	lastSeen.size, lastSeen.modTime = info.Size(), info.ModTime()
	return changed
}

// Read reads the settings file at path.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, merry.Prepend(err, path)
	}
	return settings, nil
}
