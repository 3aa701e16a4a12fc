package tasks

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
)

const workersPerRack = 3

// regionByCentre gives the regions of known data centres; an unknown data centre forms a region of its own name.
var regionByCentre = map[string]string{
	"lausanne": "ch-west", "fribourg": "ch-west", "chur": "ch-east",
	"glasgow-a": "west-scotland", "paisley-b": "west-scotland", "edinburgh-a": "east-scotland",
}

// ReadWorkers returns the workers listed in a JSON file.
func ReadWorkers(path string) ([]Worker, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var workers []Worker
	if err := json.Unmarshal(data, &workers); err != nil {
		return nil, fmt.Errorf("reading workers from %s: %w", path, err)
	}
	return workers, nil
}

// ParseWorkers returns equal workers for a list of data centres with worker counts, such as lausanne=4,fribourg=3 or
// region/centre=4, with three workers in a rack.
func ParseWorkers(list string, cores, memory, gpus int) ([]Worker, error) {
	var workers []Worker
	for _, part := range strings.Split(list, ",") {
		name, count, ok := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(count)
		if !ok || err != nil || n < 0 {
			return nil, fmt.Errorf("invalid number of workers per data centre %q, want CENTRE=COUNT or REGION/CENTRE=COUNT", part)
		}
		region, centre, ok := strings.Cut(name, "/")
		if !ok {
			region, centre = regionByCentre[name], name
			if region == "" {
				region = name
			}
		}
		for i := range n {
			workers = append(workers, Worker{
				ID: fmt.Sprintf("%s-w%d", centre, i+1), Region: region, Centre: centre,
				Rack:  fmt.Sprintf("%s-r%d", centre, i/workersPerRack+1),
				Cores: cores, Memory: memory, GPUs: gpus, Up: true,
			})
		}
	}
	return workers, nil
}
