package nodesettings

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPathNotSet is returned by Load where PathVariable is empty.
var ErrPathNotSet = errors.New("settings: " + PathEnvVar + " is not set")

// Load reads the file that PathVariable names. FileChanged compares with this moment from then on.
func Load() (*Settings, error) {
	path := os.Getenv(PathEnvVar)
	if path == "" {
		return nil, ErrPathNotSet
	}
	FileChanged()
	return Read(path)
}

// lastSeen is the settings file's size and modification time when FileChanged was last called.
var lastSeen struct {
	sync.Mutex
	size    int64
	modTime time.Time
}

// FileChanged reports whether the file that PathVariable names has changed since the last call of FileChanged or Load. It
// may be called by several goroutines; one of them learns of each change. A file that cannot be read has not changed.
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
