package cluster

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/config"
	"coralhub/internal/faults"
	"coralhub/internal/process"
)

// Names in Node.Links of the links to the emulated services; links to peers have the name of the peer.
const (
	LinkState = "state"
	LinkCloud = "cloud"
)

// addProxy starts a proxy for a link to a target. The proxy is closed with the cluster.
func (c *Cluster) addProxy(name, target string) (*faults.Proxy, error) {
	p, err := faults.New(name, target)
	if err != nil {
		return nil, err
	}
	p.OnFailure(c.opt.OnFailure)
	c.proxies = append(c.proxies, p)
	return p, nil
}

// createNodes creates the nodes, the links between them and the links to the emulated services, whose
// addresses are given. It starts no process.
func (c *Cluster) createNodes(stateAddr, cloudAddr string) error {
	zones := c.opt.Cluster.Zones
	for i := range c.opt.Nodes {
		n := &Node{Name: fmt.Sprintf("node-%d", i), Zone: zones[i%len(zones)], Links: map[string]*faults.Proxy{}}
		c.Nodes = append(c.Nodes, n)
		if err := c.createLinks(n, stateAddr, cloudAddr); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := c.linkPeers(n); err != nil {
			return err
		}
	}
	return nil
}

// createLinks chooses the addresses of a node, and creates its links from users and workers and to the
// emulated services.
func (c *Cluster) createLinks(n *Node, stateAddr, cloudAddr string) (err error) {
	if n.listen, err = process.FreeAddress(); err != nil {
		return err
	}
	if n.peerListen, err = process.FreeAddress(); err != nil {
		return err
	}
	if n.Users, err = c.addProxy("users to "+n.Name, n.listen); err != nil {
		return err
	}
	if n.Workers, err = c.addProxy("workers to "+n.Name, n.listen); err != nil {
		return err
	}
	if n.Links[LinkState], err = c.addProxy(n.Name+" to "+LinkState, stateAddr); err != nil {
		return err
	}
	n.Links[LinkCloud], err = c.addProxy(n.Name+" to "+LinkCloud, cloudAddr)
	return err
}

// linkPeers creates the links from a node to all other nodes.
func (c *Cluster) linkPeers(n *Node) error {
	for _, peer := range c.Nodes {
		if peer == n {
			continue
		}
		link, err := c.addProxy(n.Name+" to "+peer.Name, peer.peerListen)
		if err != nil {
			return err
		}
		n.Links[peer.Name] = link
	}
	return nil
}

// writeConfig writes the configuration file that the platform provides to a node. The addresses of other
// systems in it are those of the node's links.
func (c *Cluster) writeConfig(n *Node) error {
	platform := config.Platform{
		Node:         n.Name,
		Location:     n.Zone,
		ClientListen: n.listen,
		PeerListen:   n.peerListen,
		Cluster:      c.opt.Cluster,
		External:     config.External{State: n.Links[LinkState].Addr(), Cloud: n.Links[LinkCloud].Addr()},
	}
	for _, peer := range c.Nodes {
		if peer != n {
			platform.Peers = append(platform.Peers,
				config.Peer{Node: peer.Name, Location: peer.Zone, Address: n.Links[peer.Name].Addr()})
		}
	}
	raw, err := toml.Marshal(&platform)
	if err != nil {
		return err
	}
	n.configFile = filepath.Join(c.opt.Dir, n.Name+".toml")
	return os.WriteFile(n.configFile, raw, 0o600)
}
