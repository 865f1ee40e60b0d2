/* The platform's metadata store: keyed topics with one partition. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/** store_start() - serve the store's calls in threads of their own */
void store_start(const char *address, int port);

/** store_put() - append a record, as the operator and the workers do
 * @value: empty to drop the key
 */
void store_put(const char *topic, const char *key, const char *value);

#endif
