#ifndef AGATECRANK_CORE_DIRECTORY_H
#define AGATECRANK_CORE_DIRECTORY_H

#include "Fields.h"
#include "NameTable.h"

/** DIRECTORY_ADDRESS_MAX - bytes of an IP number with its final zero */
#define DIRECTORY_ADDRESS_MAX 46

typedef enum HostRole_ {
    HOST_UPSTREAM,
    HOST_BALANCER,
} HostRole;

/** struct HostEntry_ - one entry of the platform's host list, borrowed */
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
 * struct DirectoryUpstream_ - an upstream that this host knows
 * @index: dense index; reused only after the last reference was dropped
 * @present: still in the host list
 * @references: open requests that name it
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

/** enum DirectoryChange_ - what a new host list did to an upstream */
typedef enum DirectoryChange_ {
    DIRECTORY_ADDED,
    DIRECTORY_REMOVED,
    DIRECTORY_LEAVING,
    DIRECTORY_STAYING,
} DirectoryChange;

typedef void DirectoryHandler(void *user, const DirectoryUpstream *upstream,
                              DirectoryChange change);

/** typedef Directory - upstreams by the host list, with dense indexes */
typedef struct Directory_ Directory;

/** Directory_Create() - @services gives the indexes of services; borrowed */
Directory *Directory_Create(NameTable *services, DirectoryHandler *handler,
                            void *user);

/** Directory_Destroy() - release the directory */
void Directory_Destroy(Directory *this);

/**
 * Directory_Update() - take a new host list
 *
 * An upstream whose address, service, domain or labels changed counts as
 * removed and added.
 */
void Directory_Update(Directory *this, const HostEntry *entries, size_t count);

/** Directory_At() - upstream of an index, or NULL */
const DirectoryUpstream *Directory_At(const Directory *this, uint32_t index);

/** Directory_Find() - upstream by id, or NULL */
const DirectoryUpstream *Directory_Find(const Directory *this, Str id);

/** Directory_Limit() - one more than the largest index */
uint32_t Directory_Limit(const Directory *this);

/** Directory_Hold() and Directory_Release() - count an open request */
void Directory_Hold(Directory *this, uint32_t index);
void Directory_Release(Directory *this, uint32_t index);

#endif
