#ifndef AGATECRANK_CORE_DIRECTORY_H
#define AGATECRANK_CORE_DIRECTORY_H

#include "Fields.h"
#include "NameTable.h"

/** DIRECTORY_ADDRESS_MAX - bytes of an IP address in text form with its NUL */
#define DIRECTORY_ADDRESS_MAX 46

/** enum HostRole_ - role of a host in the host list */
typedef enum HostRole_ {
    HOST_UPSTREAM,
    HOST_BALANCER,
} HostRole;

/** struct HostEntry_ - one entry of the platform's host list; borrowed */
typedef struct HostEntry_ {
    Str id;
    HostRole role;
    Str address;
    uint16_t port;
    uint16_t peer_port;
    Str service;
    Str domain;
    bool leaving;
    Labels labels;
} HostEntry;

/**
 * struct DirectoryUpstream_ - an upstream from the host list
 * @index: dense index; reused only after the last reference is dropped
 * @service, @domain: indexes of the service and the failure domain
 * @leaving: the host list says that it leaves
 * @present: it is still in the host list
 * @references: number of open attempts that use it
 * @store: owns the strings and labels
 */
typedef struct DirectoryUpstream_ {
    uint32_t index;
    Str id;
    char address[DIRECTORY_ADDRESS_MAX];
    uint16_t port;
    uint32_t service;
    uint32_t domain;
    Str domain_name;
    Labels labels;
    bool leaving;
    bool present;
    uint32_t references;
    Arena *store;
} DirectoryUpstream;

/** enum DirectoryChange_ - effect of a new host list on an upstream */
typedef enum DirectoryChange_ {
    DIRECTORY_ADDED,
    DIRECTORY_REMOVED,
    DIRECTORY_LEAVING,
    DIRECTORY_LEAVING_CANCELLED,
} DirectoryChange;

/** typedef DirectoryHandler - called for each change of an upstream */
typedef void DirectoryHandler(void *user, const DirectoryUpstream *upstream,
                              DirectoryChange change);

/** typedef Directory - upstreams of the host list, with dense indexes */
typedef struct Directory_ Directory;

/**
 * Directory_Create() - create an empty directory
 * @services: assigns the indexes of services; borrowed
 * @handler: called during Directory_Update(), with @user
 */
Directory *Directory_Create(NameTable *services, DirectoryHandler *handler,
                            void *user);

/** Directory_Destroy() - free the directory and its upstreams */
void Directory_Destroy(Directory *this);

/**
 * Directory_Update() - apply a new host list
 *
 * Only upstreams are kept; of entries with the same id the first one counts.
 * An upstream whose address, port, service, domain or labels changed is
 * removed and added again.
 */
void Directory_Update(Directory *this, const HostEntry *entries, size_t count);

/** Directory_At() - return the upstream of an index, or NULL */
const DirectoryUpstream *Directory_At(const Directory *this, uint32_t index);

/** Directory_Find() - return the upstream with an id, or NULL */
const DirectoryUpstream *Directory_Find(const Directory *this, Str id);

/** Directory_IndexLimit() - return one more than the largest index */
uint32_t Directory_IndexLimit(const Directory *this);

/** Directory_Ref() - add a reference to an upstream in use by an attempt */
void Directory_Ref(Directory *this, uint32_t index);

/** Directory_Unref() - drop a reference; may free a removed upstream */
void Directory_Unref(Directory *this, uint32_t index);

#endif
